"""Exceptions raised by the gateway."""


class GatewayError(Exception):
    """Base class of all gateway errors."""


class CallerGoneError(GatewayError):
    """The caller's connection closed, timed out or sent an invalid message."""


class BodyTooLargeError(GatewayError):
    """A request body exceeds the size limit."""


class StoppingError(GatewayError):
    """The host stops before the request could be sent to a target."""


class BodyTakenError(GatewayError):
    """A request body that can be sent only once was sent before."""


class NotSentError(GatewayError):
    """No byte of the request was sent to the target."""


class ResponseLostError(GatewayError):
    """Bytes were sent, but no complete response was received."""


class StoreError(GatewayError):
    """A store request got no usable response.

    Attributes:
        is_history_lost: Whether the store no longer holds the requested
            changes.
    """

    def __init__(self, message: str, *, is_history_lost: bool = False):
        super().__init__(message)
        self.is_history_lost = is_history_lost
