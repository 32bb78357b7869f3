"""A node keeps serving requests whatever bytes a peer sends."""

import trio
from hypothesis import given, settings, strategies as st
from returns.result import Success

from tests.common.fleet import run_virtual, running_fleet
from tests.common.peer_input import (
    HELLO,
    frames_with_any_fields,
    other_bytes,
    typed_frames,
)
from tests.common.policies import single_bundle, single_layout

PEER_ADDRESS = "10.0.0.1:3"


@settings(max_examples=60)
@given(
    inputs=st.lists(
        st.one_of(typed_frames(), frames_with_any_fields(), other_bytes()),
        min_size=1,
        max_size=6,
    ),
    sends_hello=st.booleans(),
)
def test_a_node_keeps_serving_after_any_bytes_of_a_peer(inputs, sends_hello):
    async def main():
        async with running_fleet(single_layout(2), single_bundle()) as fleet:
            for data in inputs:
                stream = await fleet.connect(PEER_ADDRESS)
                await stream.send_all((HELLO if sends_hello else b"") + data)
            await trio.sleep(0.3)
            assert not fleet["orders-0"].node_ended.is_set()
            caller = fleet.caller("orders-0")
            result = await caller.request("GET", "/orders/lookup")
            assert isinstance(result, Success), result

    run_virtual(main)
