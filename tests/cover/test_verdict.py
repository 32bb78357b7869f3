"""HTTP status codes of refusals."""

from jacinthshed import Reason
from jacinthshed.internal.verdict import HTTP_STATUS


def test_every_reason_has_an_http_status():
    assert set(HTTP_STATUS) == set(Reason)
