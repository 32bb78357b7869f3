"""Retry allowance of a root request, passed down its call tree and never duplicated."""

from collections import OrderedDict

MAX_CLOSED_IDS = 65_536


class _Account:
    """The allowance that one running request owns, and the parts sent with attempts."""

    __slots__ = ("sent_parts", "owned")

    def __init__(self, owned: int) -> None:
        self.owned = owned
        self.sent_parts: dict[str, int] = {}


class AllowanceLedger:
    """Retry allowances of the requests that run at one node, by request id.

    A retry costs 1. Allowance that is sent with an attempt is no longer owned here, and
    its unused part is returned at most once, with the answer to that attempt. The
    retries in a whole call tree therefore never exceed the allowance of its root, even
    if messages are lost, delayed or duplicated. All nested calls of one request,
    parallel ones included, share one account.
    """

    def __init__(self, *, max_closed: int = MAX_CLOSED_IDS) -> None:
        self._accounts: dict[str, _Account] = {}
        self._closed_ids: OrderedDict[str, None] = OrderedDict()
        self._max_closed_ids = max_closed

    def open(self, request_id: str, allowance: int) -> bool:
        """Open the account of a request with the allowance that came with it.

        Returns ``False`` and changes nothing if the account was opened before, so that
        a duplicate message adds no allowance. The ids of the last ``max_closed`` closed
        requests are stored for this check.
        """
        if request_id in self._accounts or request_id in self._closed_ids:
            return False
        self._accounts[request_id] = _Account(max(0, allowance))
        return True

    def owned(self, request_id: str) -> int:
        """Return the allowance that the request owns; 0 if it is unknown or closed."""
        account = self._accounts.get(request_id)
        return account.owned if account is not None else 0

    def spend(self, request_id: str) -> bool:
        """Pay 1 for a retry; return ``False`` if nothing is left."""
        account = self._accounts.get(request_id)
        if account is None or account.owned < 1:
            return False
        account.owned -= 1
        return True

    def split(self, request_id: str, attempt_id: str, *, calls_others: bool) -> int:
        """Move a part of the allowance to an attempt and return that part.

        An attempt of a route that ``calls_others`` gets the greater half, because a
        retry by the direct caller of a failed call repeats the least work. The rest
        stays here in case the attempt is never answered. A route that makes no calls
        needs no allowance and gets 0.
        """
        account = self._accounts.get(request_id)
        if account is None or not calls_others or attempt_id in account.sent_parts:
            return 0
        part = (account.owned + 1) // 2
        account.owned -= part
        account.sent_parts[attempt_id] = part
        return part

    def give_back(self, request_id: str, attempt_id: str, unused: int) -> None:
        """Add back the unused allowance of an answered attempt, once per attempt."""
        account = self._accounts.get(request_id)
        if account is None:
            return
        sent_part = account.sent_parts.get(attempt_id, 0)
        account.owned += min(sent_part, max(0, unused))
        account.sent_parts[attempt_id] = 0

    def close(self, request_id: str) -> int:
        """Close the account and return the allowance to send back with the answer.

        Allowance that was sent with unanswered attempts is lost.
        """
        account = self._accounts.pop(request_id, None)
        if account is None:
            return 0
        self._closed_ids[request_id] = None
        if len(self._closed_ids) > self._max_closed_ids:
            self._closed_ids.popitem(last=False)
        return account.owned
