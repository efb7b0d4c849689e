"""Tickets: which entry host may execute a request that may not be repeated.

A look-up hands out a ticket for each entry host it lists. A caller makes a
request id from a ticket and a suffix of its own choice. Whichever host such
an id arrives at, only the named incarnation of the named host may ever
dispatch it, so a retry at another host cannot execute it again.
"""

from typing import NamedTuple

SEPARATOR = "~"
MAX_REQUEST_ID_CHARS = 200


class Owner(NamedTuple):
    """The one incarnation of an entry host that may execute some ids."""

    host: str
    incarnation: int


class Ticket(NamedTuple):
    """The right of one incarnation of an entry host to execute an id.

    Attributes:
        host: Seat name.
        incarnation: Incarnation of the process in that seat.
        epoch: Ticket epoch of that incarnation when it was issued.
    """

    host: str
    incarnation: int
    epoch: int

    def __str__(self) -> str:
        parts = (self.host, format(self.incarnation, "x"), str(self.epoch))
        return SEPARATOR.join(parts)

    @property
    def owner(self) -> Owner:
        """Incarnation that may execute ids made from this ticket."""
        return Owner(self.host, self.incarnation)

    @classmethod
    def of_request(cls, request_id: str) -> "Ticket | None":
        """Returns the ticket that a request id starts with, if any.

        Examples:
            >>> Ticket.of_request("quito-1~ff~3~order-17")
            Ticket(host='quito-1', incarnation=255, epoch=3)
            >>> Ticket.of_request("order-17") is None
            True
        """
        parts = request_id.split(SEPARATOR, 3)
        if len(parts) != 4 or not all(parts):  # noqa: PLR2004
            return None
        try:
            return cls(parts[0], int(parts[1], 16), int(parts[2]))
        except ValueError:
            return None
