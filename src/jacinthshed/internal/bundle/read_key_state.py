"""What a node knows of its calls for one key of the platform."""

from math import inf


class KeyState:
    """State of one key: whether it was ever read, and its consecutive failures.

    ``called_ms`` is when its last call started, ``answered_ms`` when one was answered,
    ``settled_ms`` the time until which the node doesn't know its rank, and
    ``not_before_ms`` the earliest start of a call. ``watch_ms`` is the longest wait of
    the last call, and ``is_in_step`` whether the readers' calls end at the same time,
    as they do when a change ends them. ``staggered_ms`` is when the last call in step
    started.

    ``is_unbroken`` says that the last call was answered, ``is_watch`` and
    ``is_substitute`` that it was a watch, or a read because the readers were quiet.
    From ``read_again_ms`` on, a reading is needed to complete the last one.
    """

    def __init__(self, not_before_ms: float) -> None:
        self.read_once = False
        self.called_ms = not_before_ms
        self.answered_ms = -inf
        self.watch_ms = 0
        self.is_in_step = True
        self.staggered_ms = -inf
        self.is_unbroken = False
        self.is_watch = False
        self.is_substitute = False
        self.read_again_ms = inf
        self.settled_ms = inf
        self.failures = 0
        self.not_before_ms = not_before_ms
