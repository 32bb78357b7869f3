"""Whether the backend server beside a node takes connections."""

import trio

from ..http.client import BackendPool
from ..http.network import Network
from .health_task import HealthTask
from .state import NodeState
from .surroundings import Surroundings

CHECK_TIMEOUT_S = 0.2


async def is_listening(network: Network, address: str) -> bool:
    """Return whether a connection to ``address`` can be opened at this moment."""
    with trio.move_on_after(CHECK_TIMEOUT_S):
        try:
            stream = await network.connect(address)
        except (OSError, trio.BrokenResourceError):
            return False
        await trio.aclose_forcefully(stream)
        return True
    return False


def build_health_task(around: Surroundings, state: NodeState) -> HealthTask | None:
    """Return the task that refuses work for a server which takes no connection.

    It is ``None`` where there is no server, or none that is to be probed.
    """
    backend = around.settings.backend
    if backend is None or backend.health_path is None:
        return None

    def changed(is_up: bool) -> None:
        event = "backend_up" if is_up else "backend_down"
        around.log(event, address=str(backend.address))
        state.check.backend_is_up = is_up

    pool = BackendPool(
        connect=around.network.connect,
        address=str(backend.address),
        max_connections=1,
    )
    return HealthTask(
        pool=pool,
        path=backend.health_path,
        interval_ms=backend.health_interval_ms,
        on_change=changed,
    )
