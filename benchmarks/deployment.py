"""A deployment on loopback: stand-ins and nodes as separate processes."""

import json
from pathlib import Path
from typing import Any, NamedTuple

import yaml
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from jacinthshed.internal.bundle.signing import (
    Envelope,
    envelope_bytes,
    generate_key,
    sign,
)
from jacinthshed.internal.demo.free_ports import free_ports
from jacinthshed.internal.settings.keys import public_key_text

from .processes import Process, Processes

__all__ = ["Deployment", "TargetPlan", "free_ports", "plan_targets"]

OPERATOR = "operator"
NODE_MODULE = "jacinthshed"
PLATFORM_MODULE = "jacinthshed.internal.standin.platform"
BACKEND_MODULE = "jacinthshed.internal.standin.backend"


class TargetPlan(NamedTuple):
    """One target: its host, service and zone, and the ports of its processes."""

    host: str
    service: str
    availability_zone: str
    backend_port: int
    entry_port: int
    egress_port: int
    peer_port: int

    @property
    def entry(self) -> str:
        """Address of the entry listener, as ``IP:PORT``."""
        return f"127.0.0.1:{self.entry_port}"

    @property
    def peer(self) -> str:
        """Address of the peer listener, as ``IP:PORT``."""
        return f"127.0.0.1:{self.peer_port}"


class TargetProcesses(NamedTuple):
    """The processes of one target."""

    plan: TargetPlan
    backend: Process
    node: Process


def plan_targets(
    services: list[str], zones: list[str], per_service: int
) -> list[TargetPlan]:
    """Return ``per_service`` targets of each service, spread evenly over ``zones``."""
    ports = iter(free_ports(4 * per_service * len(services)))
    return [
        TargetPlan(
            f"{service}-{number}",
            service,
            zones[number % len(zones)],
            *(next(ports) for _ in range(4)),
        )
        for service in services
        for number in range(per_service)
    ]


def sign_bundle(bundle: dict[str, Any], key: Ed25519PrivateKey) -> bytes:
    """Return the signed envelope of ``bundle``."""
    document = yaml.safe_dump(bundle, sort_keys=False)
    return envelope_bytes(sign(Envelope(document=document), OPERATOR, key))


def host_list(plans: list[TargetPlan]) -> str:
    """Return the JSON list of hosts that the platform serves, all of them live."""
    return json.dumps(
        [
            {
                "host": plan.host,
                "service": plan.service,
                "availability_zone": plan.availability_zone,
                "peer_address": plan.peer,
                "state": "live",
            }
            for plan in plans
        ]
    )


def node_settings(
    plan: TargetPlan, key: Ed25519PrivateKey, platform: str, sample: float
) -> dict[str, Any]:
    """Return the settings of the node of ``plan``.

    ``platform`` is the address of the platform, and ``sample`` the share of calls that
    the node logs, from 0 to 1.
    """
    return {
        "host": plan.host,
        "availability_zone": plan.availability_zone,
        "service": plan.service,
        "listen": {
            "entry": plan.entry,
            "egress": f"127.0.0.1:{plan.egress_port}",
            "peer": plan.peer,
        },
        "backend": {"address": f"127.0.0.1:{plan.backend_port}"},
        "platform": {"address": platform},
        "operators": {
            "threshold": 1,
            "keys": {OPERATOR: public_key_text(key.public_key())},
        },
        "logs": {"format": "json", "sample": sample},
    }


class Deployment:
    """Starts the processes of a deployment and holds their addresses.

    ``options`` maps a service to the options of its stand-in backend servers; its
    option ``calls`` is the path of the nested call that each request makes. ``sample``
    is the share of calls that nodes log, from 0 to 1. ``running`` maps the host of each
    started target to its processes.
    """

    def __init__(
        self,
        *,
        processes: Processes,
        plans: list[TargetPlan],
        bundle: dict[str, Any],
        options: dict[str, dict[str, Any]] | None = None,
        sample: float = 1.0,
    ) -> None:
        self.processes = processes
        self.plans = plans
        self.key = generate_key()
        self.bundle = bundle
        self.options = options or {}
        self.sample = sample
        self.platform_address = ""
        self.running: dict[str, TargetProcesses] = {}

    @property
    def folder(self) -> Path:
        """Directory of the logs and settings files."""
        return self.processes.folder

    def start(self) -> None:
        """Start the platform and all targets; return when every node serves."""
        self.start_platform()
        for plan in self.plans:
            self.start_target(plan)
        for running in self.running.values():
            running.node.first_line()

    def start_platform(self) -> Process:
        """Start the platform with the bundle and the list of hosts."""
        bundle_path = self.folder / "bundle.signed.yaml"
        bundle_path.write_bytes(sign_bundle(self.bundle, self.key))
        hosts_path = self.folder / "hosts.json"
        hosts_path.write_text(host_list(self.plans))
        platform = self.processes.start(
            "platform",
            PLATFORM_MODULE,
            "--put",
            f"bundle={bundle_path}",
            "--put",
            f"hosts={hosts_path}",
        )
        self.platform_address = platform.first_line()["address"]
        return platform

    def start_target(self, plan: TargetPlan) -> TargetProcesses:
        """Start a backend server and its node, without waiting for the node."""
        running = TargetProcesses(plan, self.start_backend(plan), self.start_node(plan))
        self.running[plan.host] = running
        return running

    def start_backend(self, plan: TargetPlan) -> Process:
        """Start the stand-in backend server of ``plan``."""
        options = dict(self.options.get(plan.service, {}))
        calls = options.pop("calls", "")
        backend = self.processes.start(
            f"{plan.host}.backend",
            BACKEND_MODULE,
            "--service",
            plan.service,
            "--host",
            plan.host,
            "--listen",
            f"127.0.0.1:{plan.backend_port}",
            "--egress",
            f"127.0.0.1:{plan.egress_port}",
            "--calls",
            calls,
            "--options",
            json.dumps(options),
        )
        backend.first_line()
        return backend

    def start_node(self, plan: TargetPlan, *, with_backend: bool = True) -> Process:
        """Start the node of ``plan``, as an entry node only if it has no backend."""
        settings = node_settings(plan, self.key, self.platform_address, self.sample)
        if not with_backend:
            del settings["backend"]
        path = self.folder / f"{plan.host}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        return self.processes.start(
            f"{plan.host}.node", NODE_MODULE, "node", "--settings", str(path)
        )
