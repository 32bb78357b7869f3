"""What goes wrong with HTTP messages."""


class BadRequestError(Exception):
    """A client sent bytes that are no acceptable request.

    ``status`` is the response's status; ``detail`` tells the client what to change.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class BadResponseError(Exception):
    """A server sent bytes that are no acceptable response, or closed too soon."""
