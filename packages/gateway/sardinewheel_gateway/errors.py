"""Errors of the gateway."""


class GatewayError(Exception):
    """Base of all errors of the gateway."""


class CallerGoneError(GatewayError):
    """The caller closed its connection or sent an invalid message."""


class BodyTooLargeError(GatewayError):
    """A caller's body is larger than allowed."""


class NotSentError(GatewayError):
    """No byte of a request left for the target."""


class AnswerLostError(GatewayError):
    """Bytes left, and no whole answer to the request came back."""


class StoreError(GatewayError):
    """A call to the store got no usable answer.

    Attributes:
        is_history_lost: Whether the store no longer has the changes asked for.
    """

    def __init__(self, message: str, *, is_history_lost: bool = False):
        super().__init__(message)
        self.is_history_lost = is_history_lost
