"""Starts the stand-in backend servers of the demonstration."""

import random
from typing import NamedTuple

import msgspec
import trio

from ..http.network import Network
from ..standin.backend import serve_backend
from ..standin.backend_options import BackendOptions
from ..standin.backend_state import BackendState
from ..standin.backend_work import SendNested

ANY_PORT = "127.0.0.1:0"


class RunningBackend(NamedTuple):
    """A backend server that was started, and its address as IP:port."""

    state: BackendState
    address: str


async def start_backend(
    nursery: trio.Nursery,
    network: Network,
    options: BackendOptions,
    number: int,
    send_nested: SendNested,
) -> RunningBackend:
    """Start the backend server of target ``number`` of the service in ``options``."""
    host = f"{options.service}-{number}"
    state = BackendState(options=msgspec.structs.replace(options, host=host))
    rng = random.Random(host)

    async def serve(task_status: trio.TaskStatus[str]) -> None:
        await serve_backend(
            state,
            network,
            ANY_PORT,
            send_nested=send_nested,
            rng=rng,
            crash=lambda: None,
            task_status=task_status,
        )

    address: str = await nursery.start(serve)
    return RunningBackend(state, address)
