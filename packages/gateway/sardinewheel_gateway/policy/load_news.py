"""What hosts tell each other of the requests at targets.

Answers many hosts that share the targets: what a host learns from its own
responses is seconds old, and requests that other hosts have sent meanwhile are
missing in it. A host tells how many requests were at a target when it
responded, and each request that it sends.
"""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import xxhash

AGE_UNIT_S = 0.001
MAX_AGE_UNITS = 0xFFFF
# Number of requests at the target; ``SENT`` stands for a request to it.
SENT = 0xFF
MAX_REQUESTS = 0xFE
# Target key, age and number of requests.
ENTRY = struct.Struct("<IHB")
MAX_ITEMS = 150


class LoadItem(NamedTuple):
    """One thing that a host has observed of a target.

    Attributes:
        target_key: Short hash of the target's id, see ``target_key``.
        at: Time of the observation, on this host's monotonic clock.
        requests: Requests that the target reported, in execution or waiting;
            ``None`` if a request was sent to it.
    """

    target_key: int
    at: float
    requests: int | None


def target_key(target_id: str) -> int:
    """Returns the short hash that identifies a target in messages."""
    return xxhash.xxh3_64_intdigest(target_id.encode()) >> 32


def pack(items: Iterable[LoadItem], now: float) -> bytes:
    """Returns the encoded items."""
    return b"".join(
        ENTRY.pack(
            item.target_key,
            max(0, min(MAX_AGE_UNITS, int((now - item.at) / AGE_UNIT_S))),
            SENT if item.requests is None else min(MAX_REQUESTS, item.requests),
        )
        for item in items
    )


def unpack(data: bytes, now: float) -> Iterator[LoadItem]:
    """Yields the items of a message.

    Raises:
        ValueError: The data does not consist of whole entries.
    """
    if len(data) % ENTRY.size:
        raise ValueError(f"load news of {len(data)} bytes has a partial entry")
    for key, age, requests in ENTRY.iter_unpack(data):
        count = None if requests == SENT else requests
        yield LoadItem(key, now - age * AGE_UNIT_S, count)


class LoadNews:
    """Observations of this host that it has not told yet.

    Attributes:
        items: The observations, oldest first.
    """

    def __init__(self):
        self.items: list[LoadItem] = []

    def add(self, item: LoadItem) -> None:
        """Adds an observation; drops the oldest ones if there are many."""
        self.items.append(item)
        del self.items[:-MAX_ITEMS]

    def take(self) -> list[LoadItem]:
        """Returns and clears the observations."""
        items, self.items = self.items, []
        return items
