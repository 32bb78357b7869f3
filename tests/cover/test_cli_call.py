import json
import threading

import pytest
import trio

from jacinthshed.internal.cli.call_command import call
from jacinthshed.internal.http.network import tcp_network
from tests.common.scripted_entry import CopyOutcome, ScriptedEntry


@pytest.fixture
def serve_entry():
    """Function that serves an entry node in a thread and returns its address."""
    tokens = []

    def serve(entry):
        address = []
        ready = threading.Event()

        async def main():
            async with trio.open_nursery() as nursery:
                tokens.append((trio.lowlevel.current_trio_token(), nursery))
                network = tcp_network()
                address.append(
                    await nursery.start(network.listen, "127.0.0.1:0", entry.serve)
                )
                ready.set()
                await trio.sleep_forever()

        threads.append(threading.Thread(target=trio.run, args=(main,)))
        threads[-1].start()
        assert ready.wait(10)
        return address[0]

    threads = []
    yield serve
    for token, nursery in tokens:
        trio.from_thread.run_sync(nursery.cancel_scope.cancel, trio_token=token)
    for thread in threads:
        thread.join()


def test_a_call_prints_the_key_and_fence_to_repeat_it_with(serve_entry, capsys):
    entry = ScriptedEntry(script=[CopyOutcome.ALL_LOST])
    address = serve_entry(entry)
    assert call(address, "POST", "/refunds", as_json=True) == 1
    first = json.loads(capsys.readouterr().out)
    assert first["verdict"] == "may-have-run"
    assert call(address, "POST", "/refunds", key=first["key"], as_json=True) == 0
    second = json.loads(capsys.readouterr().out)
    assert second["verdict"] == "ran"
    assert second["body"] == "done"
    assert second["fence"]
    assert entry.runs == 1


def test_a_bad_address_is_a_usage_error(capsys):
    assert call("localhost", "GET", "/") == 2
    assert "write it as IP:port" in capsys.readouterr().err
