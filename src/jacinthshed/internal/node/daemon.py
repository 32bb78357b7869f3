"""Runs a node as a process: signals, logs, metrics and exit code."""

import json
import signal
import sys
from pathlib import Path
from random import SystemRandom

import trio

from ..http.network import Network, tcp_network
from ..settings.model import NodeSettings
from ..telemetry.counting_log import counting_log
from ..telemetry.log import configure_logging
from ..telemetry.metrics import Metrics, send_metrics
from .follow_settings import follow_settings
from .integration import Integration
from .node import Node, NodeAddresses

EXIT_DONE = 0
EXIT_FAILED = 1


def run_daemon(settings: NodeSettings, path: Path) -> int:
    """Run a node until SIGTERM or SIGINT shuts it down; return the exit code.

    ``path`` is the file that ``settings`` were read from; SIGHUP reads it again.
    """
    return trio.run(_run, settings, path)


async def _run(settings: NodeSettings, path: Path) -> int:
    as_json = {"json": True, "human": False}.get(settings.logs.format)
    stream = {"stdout": sys.stdout, "stderr": sys.stderr}[settings.logs.output]
    sink = configure_logging(
        level=settings.logs.level,
        decision_share=settings.logs.sample,
        as_json=as_json,
        stream=stream,
    )
    metrics = Metrics()
    node = _build_node(settings, tcp_network(), metrics)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        statsd = settings.metrics.statsd
        if statsd is not None:
            nursery.start_soon(_send_metrics, metrics, settings, node)
        nursery.start_soon(_leave_on_signal, node)
        nursery.start_soon(follow_settings, settings, path, node.leave)
        code = await _serve(nursery, node)
        nursery.cancel_scope.cancel()
    return code


def _build_node(settings: NodeSettings, network: Network, metrics: Metrics) -> Node:
    return Node(
        settings=settings,
        integration=_select_integration(settings),
        network=network,
        random=SystemRandom(),
        log=counting_log(metrics),
        metrics=metrics,
    )


def _select_integration(settings: NodeSettings) -> Integration:
    # Imported on use for a quick start: each loads libraries the other doesn't need.
    if settings.store is not None:
        from ..platform.integration import store_integration

        return store_integration(settings, settings.store)
    from .builtin_integration import builtin_integration

    assert settings.operators is not None
    return builtin_integration(settings, settings.operators)


async def _serve(nursery: trio.Nursery, node: Node) -> int:
    ended = trio.Event()

    async def run(task_status: trio.TaskStatus[NodeAddresses]) -> None:
        await node.run(task_status=task_status)
        ended.set()

    try:
        addresses = await nursery.start(run)
    except OSError as error:
        print(
            f"can't listen: {error}; change 'listen' in the settings", file=sys.stderr
        )
        return EXIT_FAILED
    print(json.dumps(addresses._asdict()), flush=True)
    await ended.wait()
    return EXIT_DONE


async def _leave_on_signal(node: Node) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.leave()


async def _send_metrics(metrics: Metrics, settings: NodeSettings, node: Node) -> None:
    assert settings.metrics.statsd is not None
    await send_metrics(
        metrics,
        host=settings.metrics.statsd.ip,
        port=settings.metrics.statsd.port,
        prefix=settings.metrics.prefix,
        read_gauges=node.gauges,
    )
