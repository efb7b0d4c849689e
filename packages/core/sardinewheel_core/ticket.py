"""Tickets bind a non-repeatable request to the entry host that may run it.

A look-up returns a ticket for each entry host that it lists. A caller builds
a request id from a ticket and a suffix of its own choice. Whichever host
receives such an id, only the incarnation of the host named in the ticket may
dispatch it, so a retry at another host cannot execute it again.
"""

from typing import NamedTuple

SEPARATOR = "~"
MAX_REQUEST_ID_CHARS = 200


class Owner(NamedTuple):
    """Incarnation of an entry host that owns a set of request ids."""

    host: str
    incarnation: int


class Ticket(NamedTuple):
    """Grants one incarnation of an entry host the execution of an id.

    Attributes:
        host: Name of the entry host.
        incarnation: Incarnation of the host's process.
        epoch: Ticket epoch of that incarnation when the ticket was issued.
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
        """Returns the ticket that a request id starts with, or ``None``.

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
