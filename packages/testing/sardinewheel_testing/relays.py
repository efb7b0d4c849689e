"""What a relay of the link stand-in is told."""

from enum import StrEnum
from typing import NamedTuple


class RelaySettings(NamedTuple):
    """One relay.

    Attributes:
        name: Name, by which it is controlled.
        listen: Address that it listens on.
        to: Address that it connects to.
        delay_s: One-way delay in seconds.
    """

    name: str
    listen: str
    to: str
    delay_s: float = 0.0


class State(StrEnum):
    """What a relay does.

    ``OPEN``: passes bytes on.
    ``CUT``: closes its connections and refuses new ones.
    ``FROZEN``: keeps connections open and passes nothing, for good; new ones
    too.
    ``SILENT``: as frozen for connections of before; new ones work.
    """

    OPEN = "open"
    CUT = "cut"
    FROZEN = "frozen"
    SILENT = "silent"
