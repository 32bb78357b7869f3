"""Structured logs: JSON for programs, aligned text on a terminal."""

import logging
import sys
import time
from collections.abc import Callable
from typing import Any, Literal, TextIO

import msgspec
import structlog

from .line_rate_limiter import LineRateLimiter
from .request_line_buffer import RequestLineBuffer
from .sampling import is_sampled
from .sink import Entry, LogSink, Renderer

# Minimum delay between the first omitted line and the notice that counts them.
NOTICE_INTERVAL_S = 1.0

LogDecision = Callable[..., None]
"""Logs a decision, given its event name and its fields as keyword arguments."""

Level = Literal["debug", "info", "warning", "error"]

_LEVELS: dict[str, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _State:
    """Logging state of this process, set by ``configure_logging``."""

    def __init__(self) -> None:
        self.sink = LogSink(stream=sys.stderr, render=_json_renderer())
        self.level = logging.INFO
        self.decision_share = 1.0
        self.line_buffer = RequestLineBuffer()
        self.rate_limiter = LineRateLimiter()
        self.omitted_since_s = 0.0


def configure_logging(
    *,
    level: Level = "info",
    decision_share: float = 1.0,
    stream: TextIO | None = None,
    as_json: bool | None = None,
) -> LogSink:
    """Set up logging for this process and return the sink.

    Entries are written directly until the caller starts the sink's ``run``.

    ``decision_share`` (0.0 to 1.0) is the share of requests whose decisions are logged
    in any case; decisions of other requests are logged if the request fails. ``stream``
    defaults to standard error. ``as_json`` defaults to true unless ``stream`` is a
    terminal.
    """
    stream = sys.stderr if stream is None else stream
    if as_json is None:
        as_json = not stream.isatty()
    render = _json_renderer() if as_json else _text_renderer()
    _state.sink = LogSink(stream=stream, render=render)
    _state.level = _LEVELS[level]
    _state.decision_share = decision_share
    _state.line_buffer = RequestLineBuffer()
    _state.rate_limiter = LineRateLimiter()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            _add_time,
            _put_in_sink,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_state.level),
        cache_logger_on_first_use=False,
    )
    return _state.sink


def set_decision_share(share: float) -> None:
    """Set ``decision_share``, as in ``configure_logging``."""
    _state.decision_share = share


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds ``name`` to its entries as ``component``."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(component=name)
    return logger


def log_decision(event: str, **fields: Any) -> None:
    """Log one decision: what was chosen, among which candidates, and why.

    A decision about a request has the field ``request_id``. It is written if the
    request is sampled, or else once a decision with ``failed=True`` ends the request.
    Any other decision is written regardless of sampling. Lines above the rate limit of
    their event are omitted and counted. While the sink runs, writing a line only
    appends it to the sink's queue.
    """
    if _state.level > logging.INFO:
        return
    now_s = time.time()
    fields["event"] = event
    fields["level"] = "info"
    fields["time_s"] = now_s
    request_id = fields.get("request_id")
    if request_id is None or is_sampled(request_id, _state.decision_share):
        _write_within_limit(now_s, fields)
        return
    for entry in _state.line_buffer.put(fields):
        _write_within_limit(now_s, entry)


def _write_within_limit(now_s: float, entry: Entry) -> None:
    if not _state.rate_limiter.take(now_s, entry["event"]):
        _state.omitted_since_s = _state.omitted_since_s or now_s
        return
    if _state.omitted_since_s and now_s - _state.omitted_since_s > NOTICE_INTERVAL_S:
        _state.omitted_since_s = 0.0
        for kind, count in _state.rate_limiter.take_omitted_counts().items():
            _state.sink.put(
                {
                    "event": "lines_left_out",
                    "kind": kind,
                    "count": count,
                    "level": "info",
                    "time_s": now_s,
                }
            )
    _state.sink.put(entry)


def _add_time(
    logger: Any, method: str, entry: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    entry["time_s"] = time.time()
    return entry


def _put_in_sink(logger: Any, method: str, entry: structlog.typing.EventDict) -> str:
    _state.sink.put(entry)
    raise structlog.DropEvent


def _json_renderer() -> Renderer:
    render = structlog.processors.JSONRenderer(serializer=_json)
    return lambda entry: str(render(None, "", dict(entry)))


def _json(value: Any, **options: Any) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()


def _text_renderer() -> Renderer:
    render = structlog.dev.ConsoleRenderer(timestamp_key="time_s")

    def render_as_text(entry: Entry) -> str:
        fields = dict(entry)
        clock = time.localtime(fields.get("time_s", 0.0))
        fields["time_s"] = time.strftime("%H:%M:%S", clock)
        return str(render(None, "", fields))

    return render_as_text


_state = _State()
