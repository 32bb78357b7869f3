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

# Time between two notices of lines that were left out, in seconds.
NOTICE_INTERVAL_S = 1.0

LogDecision = Callable[..., None]
"""Takes the name of a decision and its fields."""

Level = Literal["debug", "info", "warning", "error"]

_LEVELS: dict[str, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _State:
    """What ``configure_logging`` has set."""

    def __init__(self) -> None:
        self.sink = LogSink(stream=sys.stderr, render=_json_renderer())
        self.level = logging.INFO
        self.decision_share = 1.0
        self.held = RequestLineBuffer()
        self.budget = LineRateLimiter()
        self.left_out_since_s = 0.0


def configure_logging(
    *,
    level: Level = "info",
    decision_share: float = 1.0,
    stream: TextIO | None = None,
    as_json: bool | None = None,
) -> LogSink:
    """Set up logging for this process and return the sink to ``run``.

    ``decision_share`` is the share of requests whose decisions are logged in any case;
    those of requests that fail are logged as well. Logs go to
    the standard error by default, as JSON unless that is a terminal.
    """
    stream = sys.stderr if stream is None else stream
    if as_json is None:
        as_json = not stream.isatty()
    render = _json_renderer() if as_json else _text_renderer()
    _state.sink = LogSink(stream=stream, render=render)
    _state.level = _LEVELS[level]
    _state.decision_share = decision_share
    _state.held = RequestLineBuffer()
    _state.budget = LineRateLimiter()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            _add_time,
            _hand_to_sink,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_state.level),
        cache_logger_on_first_use=False,
    )
    return _state.sink


def set_decision_share(share: float) -> None:
    """Change the share of requests whose decisions are logged in any case."""
    _state.decision_share = share


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger whose entries carry ``name``."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(component=name)
    return logger


def log_decision(event: str, **fields: Any) -> None:
    """Log one decision: what was chosen, among what, and why.

    A decision about a request carries its ``request_id``. It is written if the request
    is sampled, or once a line with ``failed`` set says that the request failed. Any
    other decision is always written. Each kind of line has a budget. The cost on the
    caller's path is one entry of a queue.
    """
    if _state.level > logging.INFO:
        return
    now_s = time.time()
    fields["event"] = event
    fields["level"] = "info"
    fields["time_s"] = now_s
    request_id = fields.get("request_id")
    if request_id is None or is_sampled(request_id, _state.decision_share):
        _put(now_s, fields)
        return
    for entry in _state.held.put(fields):
        _put(now_s, entry)


def _put(now_s: float, entry: Entry) -> None:
    if not _state.budget.take(now_s, entry["event"]):
        _state.left_out_since_s = _state.left_out_since_s or now_s
        return
    if _state.left_out_since_s and now_s - _state.left_out_since_s > NOTICE_INTERVAL_S:
        _state.left_out_since_s = 0.0
        for kind, count in _state.budget.take_omitted_counts().items():
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


def _hand_to_sink(logger: Any, method: str, entry: structlog.typing.EventDict) -> str:
    _state.sink.put(entry)
    raise structlog.DropEvent


def _json_renderer() -> Renderer:
    render = structlog.processors.JSONRenderer(serializer=_json)
    return lambda entry: str(render(None, "", dict(entry)))


def _json(value: Any, **options: Any) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()


def _text_renderer() -> Renderer:
    render = structlog.dev.ConsoleRenderer(timestamp_key="time_s")

    def rendered(entry: Entry) -> str:
        fields = dict(entry)
        clock = time.localtime(fields.get("time_s", 0.0))
        fields["time_s"] = time.strftime("%H:%M:%S", clock)
        return str(render(None, "", fields))

    return rendered


_state = _State()
