"""The deployment with the layer: a platform, and a node beside each backend server."""

import json
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import trio
import yaml
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success

from ..bundle.signing import Envelope, envelope_bytes, generate_key, sign
from ..caller.caller import Caller
from ..http.network import Network
from ..node.builtin_integration import builtin_integration
from ..node.node import Node, NodeAddresses
from ..settings.address import Address
from ..settings.keys import public_key_text
from ..settings.model import (
    BackendSettings,
    ListenSettings,
    NodeSettings,
    OperatorSettings,
    PlatformSettings,
)
from ..standin.backend import egress_calls
from ..standin.backend_options import BackendOptions
from ..standin.platform import serve_platform
from ..standin.platform_state import PlatformState
from .backends import ANY_PORT, start_backend
from .free_ports import free_ports
from .load import Send
from .scenario import (
    AVAILABILITY_ZONES,
    BACKENDS,
    DEADLINE_MS,
    ROUTES,
    TARGETS_PER_SERVICE,
    DemoRoute,
    demo_bundle,
)

_OPERATOR = "demo-operator"
_CALLERS = 8
_WARM_UP_ANSWERS = 10
_WARM_UP_LIMIT_S = 5.0


def _discard_decision(event: str, **fields: Any) -> None:
    """Discard a decision: the demonstration prints figures only."""


class _Target(NamedTuple):
    """The options of a target and the addresses that its node will listen on."""

    options: BackendOptions
    number: int
    listen: ListenSettings

    @property
    def host(self) -> str:
        """The name of the target's host."""
        return f"{self.options.service}-{self.number}"

    @property
    def availability_zone(self) -> str:
        """The availability zone of the target's host."""
        return AVAILABILITY_ZONES[self.number % len(AVAILABILITY_ZONES)]


async def start_with_layer(
    nursery: trio.Nursery, network: Network, rng: random.Random
) -> Send:
    """Start the platform, backend servers and nodes.

    Returns a function that sends a request as a caller, once requests are answered or
    ``_WARM_UP_LIMIT_S`` has passed.
    """
    key = generate_key()
    operators = OperatorSettings(keys={_OPERATOR: public_key_text(key.public_key())})
    targets = _targets()
    state = PlatformState()
    state.put("bundle", _signed_bundle(key).decode())
    state.put("hosts", json.dumps([_host_entry(target) for target in targets]))

    async def platform(task_status: trio.TaskStatus[str]) -> None:
        await serve_platform(state, network, ANY_PORT, task_status=task_status)

    address = _parse_address(await nursery.start(platform))
    async with trio.open_nursery() as starting:
        for target in targets:
            seed = rng.getrandbits(64)
            starting.start_soon(
                _start_target, nursery, network, target, address, operators, seed
            )
    entries = [str(t.listen.entry) for t in targets if t.options is BACKENDS[0]]
    send = _caller_send(entries, network, rng)
    await _warm_up(send)
    return send


async def _warm_up(send: Send) -> None:
    """Send requests until enough are answered in a row.

    Nodes need some time to discover each other. Returns after ``_WARM_UP_LIMIT_S`` at
    the latest.
    """
    answered = 0
    with trio.move_on_after(_WARM_UP_LIMIT_S):
        while answered < _WARM_UP_ANSWERS:
            answered = answered + 1 if await send(ROUTES[-1]) else 0


def _targets() -> list[_Target]:
    count = 3 * len(BACKENDS) * TARGETS_PER_SERVICE
    addresses = iter([Address("127.0.0.1", port) for port in free_ports(count)])
    return [
        _Target(
            options,
            number,
            ListenSettings(
                entry=next(addresses), egress=next(addresses), peer=next(addresses)
            ),
        )
        for options in BACKENDS
        for number in range(TARGETS_PER_SERVICE)
    ]


def _signed_bundle(key: Ed25519PrivateKey) -> bytes:
    document = yaml.safe_dump(demo_bundle(), sort_keys=False)
    return envelope_bytes(sign(Envelope(document=document), _OPERATOR, key))


def _host_entry(target: _Target) -> dict[str, str]:
    return {
        "host": target.host,
        "service": target.options.service,
        "availability_zone": target.availability_zone,
        "peer_address": str(target.listen.peer),
        "state": "live",
    }


async def _start_target(
    nursery: trio.Nursery,
    network: Network,
    target: _Target,
    platform: Address,
    operators: OperatorSettings,
    seed: int,
) -> None:
    send_nested = egress_calls(network, str(target.listen.egress))
    backend = await start_backend(
        nursery, network, target.options, target.number, send_nested
    )
    settings = NodeSettings(
        host=target.host,
        availability_zone=target.availability_zone,
        service=target.options.service,
        listen=target.listen,
        backend=BackendSettings(address=_parse_address(backend.address)),
        platform=PlatformSettings(address=platform),
        operators=operators,
    )
    node = Node(
        settings=settings,
        integration=builtin_integration(settings, operators),
        network=network,
        random=random.Random(seed),
        log=_discard_decision,
    )
    await nursery.start(_run_node, node)


async def _run_node(node: Node, *, task_status: trio.TaskStatus[NodeAddresses]) -> None:
    await node.run(task_status=task_status)


def _caller_send(entries: Sequence[str], network: Network, rng: random.Random) -> Send:
    callers = [
        Caller(entries=entries, network=network, rng=random.Random(rng.getrandbits(64)))
        for _ in range(_CALLERS)
    ]

    async def send(route: DemoRoute) -> bool:
        caller = rng.choice(callers)
        result = await caller.request(route.method, route.path, deadline_ms=DEADLINE_MS)
        return isinstance(result, Success) and result.unwrap().status == 200

    return send


def _parse_address(address: str) -> Address:
    ip, _, port = address.rpartition(":")
    return Address(ip, int(port))
