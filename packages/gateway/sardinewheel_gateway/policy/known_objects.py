"""Which targets have handled an object recently.

Answers a load in which a request takes a third of the time at a target that has
handled its object before, for the same route: a choice between two targets
depends on whether both know the object.
"""

import struct
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import xxhash

from sardinewheel_gateway.policy.load_news import target_key

# Time for which a target counts as knowing an object after a request for it.
KNOWN_S = 15.0
# Time after which the same is told to other hosts again.
TELL_AGAIN_S = 5.0
MAX_ENTRIES = 16384
MAX_UNSENT = 100
# Target key and object key.
ENTRY = struct.Struct("<II")


class KnownObject(NamedTuple):
    """An object of a route that a target has handled.

    Attributes:
        target_key: Short hash of the target's id.
        object_key: Short hash of the route and the object's key.
    """

    target_key: int
    object_key: int

    @classmethod
    def of(cls, target_id: str, route: str, key: str) -> "KnownObject":
        """Returns the entry for a target, a route and an object's key."""
        digest = xxhash.xxh3_64_intdigest(f"{route}\0{key}".encode())
        return cls(target_key(target_id), digest >> 32)


def pack(entries: Iterable[KnownObject]) -> bytes:
    """Returns the encoded entries."""
    return b"".join(ENTRY.pack(*entry) for entry in entries)


def unpack(data: bytes) -> Iterator[KnownObject]:
    """Yields the entries of a message.

    Raises:
        ValueError: The data does not consist of whole entries.
    """
    if len(data) % ENTRY.size:
        raise ValueError(f"objects of {len(data)} bytes have a partial entry")
    for fields in ENTRY.iter_unpack(data):
        yield KnownObject(*fields)


class KnownObjects:
    """The objects that targets know, as far as this host has heard.

    Attributes:
        handled_at: Time at which a request for the object last ended there,
            or at which another host told of it, the oldest first.
        unsent: Entries to tell other hosts.

    Examples:
        >>> known = KnownObjects()
        >>> known.record("t1", "status", "k", now=0.0)
        >>> known.knows("t1", "status", "k", now=1.0)
        True
        >>> known.knows("t1", "confirm", "k", now=1.0)
        False
    """

    def __init__(self):
        self.handled_at: OrderedDict[KnownObject, float] = OrderedDict()
        self.unsent: list[KnownObject] = []

    def knows(
        self, target_id: str, route: str, key: str, *, now: float
    ) -> bool:
        """Returns whether a target has handled an object recently."""
        handled_at = self.handled_at.get(KnownObject.of(target_id, route, key))
        return handled_at is not None and now - handled_at < KNOWN_S

    def record(
        self, target_id: str, route: str, key: str, *, now: float
    ) -> None:
        """Records a request that a target has executed."""
        entry = KnownObject.of(target_id, route, key)
        handled_at = self.handled_at.get(entry)
        if handled_at is None or now - handled_at >= TELL_AGAIN_S:
            self.unsent.append(entry)
            del self.unsent[:-MAX_UNSENT]
        self._put(entry, now)

    def merge(self, data: bytes, *, now: float) -> None:
        """Applies what another host tells.

        Raises:
            ValueError: It is not encoded as entries.
        """
        for entry in unpack(data):
            self._put(entry, now)

    def take_unsent(self) -> list[KnownObject]:
        """Returns and clears the entries to tell other hosts."""
        unsent, self.unsent = self.unsent, []
        return unsent

    def forget(self, target_id: str) -> None:
        """Drops what a target knew that has left or restarted."""
        key = target_key(target_id)
        for entry in [x for x in self.handled_at if x.target_key == key]:
            del self.handled_at[entry]

    def copy(self) -> "KnownObjects":
        """Returns a copy whose changes leave this one as it is."""
        copied = KnownObjects()
        copied.handled_at = self.handled_at.copy()
        return copied

    def _put(self, entry: KnownObject, now: float) -> None:
        self.handled_at[entry] = now
        self.handled_at.move_to_end(entry)
        if len(self.handled_at) > MAX_ENTRIES:
            self.handled_at.popitem(last=False)
