"""Addresses in the form ``IP:PORT``."""

import ipaddress
import re
from typing import NamedTuple

from returns.result import Failure, Result, Success

MAX_PORT = 65_535
# The unreserved characters of RFC 3986, as RFC 6874 allows them. The resolver can't
# encode every other text.
_ZONE_INDEX = re.compile(r"[A-Za-z0-9._~-]{1,63}")


class Address(NamedTuple):
    """An IP address in text form, without brackets, and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )


def parse_address(text: str) -> Result[Address, str]:
    """Return the address in ``text``: ``10.0.0.1:7000`` or ``[fd00::1]:7000``.

    The failure is a text that says what was expected. Host names are refused.
    """
    ip, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not colon or not is_number or int(port) > MAX_PORT:
        return Failure(f"IP:PORT with a port from 0 to {MAX_PORT}")
    is_bracketed = ip.startswith("[") and ip.endswith("]")
    if ":" in ip and not is_bracketed:
        return Failure("an IPv6 address in brackets, such as [fd00::1]:7000")
    try:
        parsed = ipaddress.ip_address(ip[1:-1] if is_bracketed else ip)
    except ValueError:
        return Failure("an IP address and no host name, such as 10.0.0.1:7000")
    zone_index = getattr(parsed, "scope_id", None)
    if zone_index is not None and not _ZONE_INDEX.fullmatch(zone_index):
        return Failure("a zone index of 1 to 63 letters, digits and the signs . _ ~ -")
    return Success(Address(str(parsed), int(port)))
