"""Checks whether a node's backend server accepts connections."""

import trio

from ..http.client import BackendPool
from ..http.network import Network
from .environment import Environment
from .health_task import HealthTask
from .state import NodeState

CHECK_TIMEOUT_S = 0.2


async def is_listening(network: Network, address: str) -> bool:
    """Return whether ``address`` accepts a connection within ``CHECK_TIMEOUT_S``."""
    with trio.move_on_after(CHECK_TIMEOUT_S):
        try:
            stream = await network.connect(address)
        except (OSError, trio.BrokenResourceError):
            return False
        await trio.aclose_forcefully(stream)
        return True
    return False


def build_health_task(env: Environment, state: NodeState) -> HealthTask | None:
    """Return the task that marks the backend server down while it refuses connections.

    Returns ``None`` if the node has no backend server or no ``backend.health_path``.
    """
    backend = env.settings.backend
    if backend is None or backend.health_path is None:
        return None

    def changed(is_up: bool) -> None:
        event = "backend_up" if is_up else "backend_down"
        env.log(event, address=str(backend.address))
        state.check.backend_is_up = is_up

    pool = BackendPool(
        connect=env.network.connect,
        address=str(backend.address),
        max_connections=1,
    )
    return HealthTask(
        pool=pool,
        path=backend.health_path,
        interval_ms=backend.health_interval_ms,
        on_change=changed,
    )
