"""Settings of a stand-in backend server."""

import msgspec


class BackendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How a stand-in backend server behaves.

    ``service_ms`` is the mean time of one request; single times vary evenly by
    ``spread`` of it either way. For ``cold_ms`` from the start, requests take
    ``cold_factor`` times as long. ``queue`` requests may wait for one of ``slots``.
    ``calls`` are the paths that each request calls, in order, before it answers.
    ``health_lag_ms`` is the age of what ``/healthz`` shows.
    """

    host: str
    service: str
    slots: int = 10
    queue: int = 0
    service_ms: float = 5.0
    spread: float = 0.5
    cold_ms: float = 0.0
    cold_factor: float = 3.0
    calls: tuple[str, ...] = ()
    call_timeout_ms: float = 1_000.0
    health_lag_ms: float = 1_000.0
    answer_bytes: int = 200
