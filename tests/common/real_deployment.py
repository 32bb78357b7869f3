"""A deployment of real processes on loopback, controlled by a test."""

import http.client
import json
from collections import Counter
from contextlib import contextmanager
from pathlib import Path

import trio
import yaml

from benchmarks.deployment import (
    NODE_MODULE,
    OPERATOR,
    Deployment,
    node_settings,
    plan_targets,
)
from benchmarks.processes import processes
from jacinthshed import Caller
from jacinthshed.internal.bundle.signing import (
    Envelope,
    envelope_bytes,
    generate_key,
    sign,
)
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.node.fetch_status import fetch_status
from jacinthshed.internal.settings.keys import public_key_text
from tests.common.policies import ZONES, single_bundle

ROOT = Path(__file__).parent.parent.parent
RELAYED_NODE_MODULE = "tests.common.relayed_node"
ADMIN_TIMEOUT_S = 5
STATUS_TIMEOUT_MS = 2_000


class RealDeployment(Deployment):
    """Hosts of one service.

    ``relays`` maps a peer address to the address of its relay. ``spare`` is the plan
    of a host that is not started and not in the list of hosts.
    """

    def __init__(self, *, plans, relays=None, **arguments):
        super().__init__(plans=plans[:-1], **arguments)
        self.spare = plans[-1]
        self.relays = relays or {}
        self.seeds = []
        self.deputy_key = generate_key()

    def start_node(self, plan):
        """Start the node of ``plan``; return its process."""
        settings = node_settings(plan, self.key, self.platform_address, 1.0)
        settings["operators"]["keys"]["deputy"] = public_key_text(
            self.deputy_key.public_key()
        )
        settings["seeds"] = self.seeds
        path = self.folder / f"{plan.host}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        arguments = [NODE_MODULE, "node", "--settings", str(path)]
        if self.relays:
            relays = json.dumps(self.relays)
            arguments = [RELAYED_NODE_MODULE, str(path), relays]
        return self.processes.start(f"{plan.host}.node", *arguments)

    def node(self, host):
        """Return the node process of ``host``."""
        return self.running[host].node

    def backend(self, host):
        """Return the backend server process of ``host``."""
        return self.running[host].backend

    def kill(self, process):
        """Kill ``process`` at once."""
        process.child.kill()
        process.child.wait()

    async def restart_node(self, host):
        """Start the node of ``host`` again; return when it serves."""
        node = self.start_node(self.running[host].plan)
        self.running[host] = self.running[host]._replace(node=node)
        await trio.to_thread.run_sync(node.first_line)

    async def start_spare(self):
        """Start the spare host; return when its node serves."""
        running = await trio.to_thread.run_sync(self.start_target, self.spare)
        await trio.to_thread.run_sync(running.node.first_line)

    async def restart_backend(self, host):
        """Start the backend server of ``host`` again; its record of starts is empty."""
        start = self.start_backend
        backend = await trio.to_thread.run_sync(start, self.running[host].plan)
        self.running[host] = self.running[host]._replace(backend=backend)

    def caller(self, *hosts):
        """Return a caller that sends to the entries of ``hosts``."""
        return Caller(entries=[self.running[host].plan.entry for host in hosts])

    def admin(self, host):
        """Return what the backend server of ``host`` has recorded."""
        port = self.running[host].plan.backend_port
        return _exchange(f"127.0.0.1:{port}", "GET", "/admin")

    def starts(self, *hosts):
        """Return the starts of each key at the backend servers of ``hosts``, or all."""
        total = Counter()
        for host in hosts or self.running:
            total.update(self.admin(host)["starts"])
        del total[""]
        return total

    def log(self, host):
        """Return the log lines of the node of ``host``, decoded."""
        lines = (self.folder / f"{host}.node.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    def set_platform_mode(self, mode):
        """Set the mode of the stand-in platform, such as ``down``."""
        _exchange(self.platform_address, "POST", "/admin/mode", mode)

    def publish(self, operator=OPERATOR, **changes):
        """Publish the bundle with ``changes``, signed by ``operator``."""
        key = self.key if operator == OPERATOR else self.deputy_key
        document = yaml.safe_dump({**self.bundle, **changes}, sort_keys=False)
        envelope = envelope_bytes(sign(Envelope(document=document), operator, key))
        _exchange(self.platform_address, "POST", "/admin/put/bundle", envelope)

    async def status(self, host):
        """Return the status of the node of ``host``."""
        connect = tcp_network().connect
        address = self.running[host].plan.peer
        asked = await fetch_status(connect, address, timeout_ms=STATUS_TIMEOUT_MS)
        return asked.unwrap()


def _exchange(address, method, path, body=None):
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=ADMIN_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


@contextmanager
def real_deployment(folder, monkeypatch, hosts, relays=None, **options):
    """Yield a started deployment of ``hosts`` hosts of one service.

    ``relays`` takes the plans of the hosts and returns the relays to use. ``options``
    are passed to the backend servers.
    """
    # The processes run the code of this tree, not of an installed package.
    monkeypatch.setenv("PYTHONPATH", f"{ROOT / 'src'}:{ROOT}")
    plans = plan_targets(["orders"], ZONES, hosts + 1)
    with processes(folder) as running:
        deployment = RealDeployment(
            processes=running,
            plans=plans,
            bundle=single_bundle(),
            options={"orders": {"spread": 0.0, **options}},
            relays=relays(plans) if relays else None,
        )
        deployment.start()
        yield deployment
