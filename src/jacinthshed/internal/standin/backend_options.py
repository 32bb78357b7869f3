"""Options of a stand-in backend server."""

import msgspec


class BackendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How a stand-in backend server behaves.

    ``service_ms`` is the mean duration of one request; durations are uniformly
    distributed around it, within a fraction ``spread`` either way. During the first
    ``cold_ms`` after the start, requests take ``cold_factor`` times as long. At most
    ``queue`` requests wait for one of ``slots``. ``calls`` are the nested calls of each
    request, as paths with an optional method, sent in order before it is answered.
    ``health_lag_ms`` is the age of the state that ``/healthz`` returns.
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
