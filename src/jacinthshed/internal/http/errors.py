"""Errors that are raised for invalid HTTP messages."""


class BadRequestError(Exception):
    """A client sent an invalid request.

    ``status`` is the HTTP status to respond with, ``detail`` the message that states
    what the client has to change.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class NoMemoryError(Exception):
    """The node has no room for the body of a request, which has not run."""


class BadResponseError(Exception):
    """A server sent an invalid response or closed before the end of its response."""
