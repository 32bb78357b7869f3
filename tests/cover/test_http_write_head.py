import h11
import pytest
from hypothesis import given, strategies as st

from jacinthshed.internal.http.write_head import request_head, response_head

NAMES = st.sampled_from([b"host", b"x-note", b"attempt-id"])
PLAIN = st.text(
    st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=12
).map(str.encode)
FIELDS = st.lists(st.tuples(NAMES.filter(lambda name: name != b"host"), PLAIN))


@given(headers=FIELDS, at=st.integers(0, 5))
def test_an_encoded_head_parses_to_the_same_fields(headers, at):
    fields = [*headers[:at], (b"host", b"shop"), *headers[at:]]
    reader = h11.Connection(h11.SERVER)
    reader.receive_data(request_head(b"GET", b"/a?b", fields))
    event = reader.next_event()
    assert (event.method, event.target) == (b"GET", b"/a?b")
    assert list(event.headers) == [(b"host", b"shop"), *headers]


@pytest.mark.parametrize("end", [b"\r", b"\n", b"\r\n", b"\r\n\r\n", b"\0"])
@pytest.mark.parametrize("place", ["target", "name", "value"])
def test_line_ends_and_nul_are_rejected(end, place):
    bad = b"a" + end + b"b"
    field = {"name": (bad, b"v"), "value": (b"n", bad)}.get(place, (b"n", b"v"))
    target = bad if place == "target" else b"/"
    with pytest.raises(h11.LocalProtocolError):
        request_head(b"GET", target, [(b"host", b"h"), field])
    if place != "target":
        with pytest.raises(h11.LocalProtocolError):
            response_head(200, [field])
