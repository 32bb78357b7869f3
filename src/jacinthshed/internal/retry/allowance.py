"""The retry allowance of a root request: it moves along the tree, never copied."""

from collections import OrderedDict

MAX_CLOSED = 65_536


class _Account:
    """What one running request owns, and what it has given to attempts."""

    __slots__ = ("given", "owned")

    def __init__(self, owned: int) -> None:
        self.owned = owned
        self.given: dict[str, int] = {}


class AllowanceLedger:
    """The allowances of the requests that run at one node, by request id.

    An attempt beyond the first costs 1. What is sent along with an attempt is no
    longer owned here, and comes back at most once, with the answer to that attempt.
    So the attempts beyond the first in a whole call tree never exceed what its root
    was given, whatever is lost, late or duplicated. All nested calls of one request
    draw on one account, however many run in parallel.
    """

    def __init__(self, *, max_closed: int = MAX_CLOSED) -> None:
        self._accounts: dict[str, _Account] = {}
        self._closed: OrderedDict[str, None] = OrderedDict()
        self._max_closed = max_closed

    def open(self, request_id: str, allowance: int) -> bool:
        """Take over what came along with a request.

        Returns False, and owns nothing more, when the request was opened before: a
        duplicate of its message brings no second allowance. Ids of closed requests
        are remembered for that, the latest ``max_closed`` of them.
        """
        if request_id in self._accounts or request_id in self._closed:
            return False
        self._accounts[request_id] = _Account(max(0, allowance))
        return True

    def owned(self, request_id: str) -> int:
        """Return what the request owns; 0 when it is unknown or closed."""
        account = self._accounts.get(request_id)
        return account.owned if account is not None else 0

    def spend(self, request_id: str) -> bool:
        """Pay for one attempt beyond the first; False when nothing is left."""
        account = self._accounts.get(request_id)
        if account is None or account.owned < 1:
            return False
        account.owned -= 1
        return True

    def split(self, request_id: str, attempt_id: str, *, calls_others: bool) -> int:
        """Return the part that goes along with an attempt and is no longer owned.

        A route that ``calls_others`` gets the greater half: the node just above a
        failed call repeats the least work. The rest stays for the case that the
        attempt is never answered. A route that calls none has no use for any.
        """
        account = self._accounts.get(request_id)
        if account is None or not calls_others or attempt_id in account.given:
            return 0
        part = (account.owned + 1) // 2
        account.owned -= part
        account.given[attempt_id] = part
        return part

    def give_back(self, request_id: str, attempt_id: str, unused: int) -> None:
        """Take back what an answered attempt did not use, once for each attempt."""
        account = self._accounts.get(request_id)
        if account is None:
            return
        given = account.given.get(attempt_id, 0)
        account.owned += min(given, max(0, unused))
        account.given[attempt_id] = 0

    def close(self, request_id: str) -> int:
        """End a request and return what goes back in its answer.

        What is still with unanswered attempts is lost.
        """
        account = self._accounts.pop(request_id, None)
        if account is None:
            return 0
        self._closed[request_id] = None
        if len(self._closed) > self._max_closed:
            self._closed.popitem(last=False)
        return account.owned
