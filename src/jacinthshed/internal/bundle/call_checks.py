"""Validation of the call graph that the routes of a bundle declare."""

import graphlib
from collections.abc import Iterator

from ..settings.problem import Problem
from .model import Bundle

# Routes in the longest chain of calls.
MAX_CALL_DEPTH = 64


def check_calls(bundle: Bundle) -> Iterator[Problem]:
    """Yield every problem of the declared calls of ``bundle``."""
    yield from _check_references(bundle)
    graph = {name: _known_calls(bundle, name) for name in bundle.routes}
    try:
        # Callees come before their callers. The sorter does not recurse, so a bundle
        # with a very long chain of calls can't exhaust the stack.
        order = tuple(graphlib.TopologicalSorter(graph).static_order())
    except graphlib.CycleError as error:
        cycle = list(reversed(error.args[1]))
        remedy = "Remove one of these calls."
        yield Problem(
            f"routes.{cycle[0]}.calls", "no cycle", " -> ".join(cycle), remedy
        )
        return
    yield from _check_depth(graph, order)
    yield from _check_idempotence(bundle, graph, order)


def _known_calls(bundle: Bundle, name: str) -> tuple[str, ...]:
    return tuple(c for c in bundle.routes[name].calls if c in bundle.routes)


def _check_references(bundle: Bundle) -> Iterator[Problem]:
    for name, route in bundle.routes.items():
        for index, callee in enumerate(route.calls):
            path = f"routes.{name}.calls[{index}]"
            if callee not in bundle.routes:
                yield Problem(path, "the name of a route", repr(callee))
            if callee in route.calls[:index]:
                yield Problem(path, "each route once", f"{callee} again")


def _check_depth(
    graph: dict[str, tuple[str, ...]], order: tuple[str, ...]
) -> Iterator[Problem]:
    depths: dict[str, int] = {}
    for name in order:
        depths[name] = 1 + max((depths[c] for c in graph[name]), default=0)
    for name, depth in depths.items():
        if depth == MAX_CALL_DEPTH + 1:
            expected = f"calls at most {MAX_CALL_DEPTH} routes deep"
            yield Problem(f"routes.{name}.calls", expected, f"{depth} routes")


def _check_idempotence(
    bundle: Bundle, graph: dict[str, tuple[str, ...]], order: tuple[str, ...]
) -> Iterator[Problem]:
    """Yield a problem for each idempotent route with a non-idempotent one below it.

    An idempotent route may be retried, which repeats all of its calls.
    """
    non_idempotent: dict[str, str] = {}
    for name in order:
        below = [non_idempotent[c] for c in graph[name] if c in non_idempotent]
        if not bundle.routes[name].idempotent:
            non_idempotent[name] = name
        elif below:
            non_idempotent[name] = below[0]
            yield Problem(
                f"routes.{name}.calls",
                "only idempotent routes below an idempotent route",
                f"the non-idempotent route {below[0]}",
                "Set idempotent: false here, or remove the call.",
            )
