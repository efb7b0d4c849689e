"""Settings and states of the relays of the link stand-in."""

from enum import StrEnum
from typing import NamedTuple


class RelaySettings(NamedTuple):
    """Settings of one relay.

    Attributes:
        name: Name by which ``/control`` addresses it.
        listen: Address to listen on.
        to: Address to connect to.
        delay_s: One-way delay in seconds.
    """

    name: str
    listen: str
    to: str
    delay_s: float = 0.0


class RelayState(StrEnum):
    """State of a relay.

    ``OPEN``: forwards bytes.
    ``CUT``: closes its connections and refuses new ones.
    ``FROZEN``: keeps connections open but drops all their bytes, permanently;
    accepts new connections and drops their bytes too.
    ``SILENT``: drops the bytes of existing connections permanently; new
    connections work.
    """

    OPEN = "open"
    CUT = "cut"
    FROZEN = "frozen"
    SILENT = "silent"
