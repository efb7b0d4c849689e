"""Compact status of hosts, as hosts pass it on to each other.

A digest lists the status of many hosts in a few bytes each. A host is
identified by a short hash of its name and incarnation; a receiver that does
not know the hash requests the full state.
"""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import xxhash

AGE_UNIT_S = 0.05
MAX_AGE_S = 255 * AGE_UNIT_S
SEQUENCE_MODULUS = 1 << 16
READY_BIT = 1
STORE_SHIFT = 1
STORE_MASK = 3
NO_PATH_BIT = 8
# Host id, sequence number, age and flags.
ENTRY = struct.Struct("<IHBB")


class HostStatus(NamedTuple):
    """What one host last heard of another.

    Attributes:
        host_id: Short hash of the name and the incarnation, see ``host_id``.
        sequence: Sequence number of the last heartbeat, modulo
            ``SEQUENCE_MODULUS``.
        age_s: Seconds since that heartbeat was sent, as far as known.
        is_ready: Whether callers may be directed to the host.
        store: Value of its ``StoreAccess``.
        reaches_targets: Whether the host reaches any target.
    """

    host_id: int
    sequence: int
    age_s: float
    is_ready: bool
    store: int
    reaches_targets: bool = True


def host_id(name: str, incarnation: int) -> int:
    """Returns the short hash that identifies an incarnation of a host."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{incarnation}".encode()) >> 32


def pack(statuses: Iterable[HostStatus]) -> bytes:
    """Returns the digest of the given statuses."""
    return b"".join(
        ENTRY.pack(
            status.host_id,
            status.sequence % SEQUENCE_MODULUS,
            min(255, int(status.age_s / AGE_UNIT_S)),
            _flags(status),
        )
        for status in statuses
    )


def unpack(digest: bytes) -> Iterator[HostStatus]:
    """Yields the statuses in a digest.

    Raises:
        ValueError: The digest does not consist of whole entries.
    """
    if len(digest) % ENTRY.size:
        raise ValueError(f"digest of {len(digest)} bytes has a partial entry")
    for identifier, sequence, age, flags in ENTRY.iter_unpack(digest):
        yield HostStatus(
            identifier,
            sequence,
            age * AGE_UNIT_S,
            bool(flags & READY_BIT),
            flags >> STORE_SHIFT & STORE_MASK,
            not flags & NO_PATH_BIT,
        )


def _flags(status: HostStatus) -> int:
    return (
        READY_BIT * status.is_ready
        | status.store << STORE_SHIFT
        | NO_PATH_BIT * (not status.reaches_targets)
    )


def sequence_advance(known: int, received: int) -> int:
    """Returns by how much a received sequence number is ahead of a known one.

    It is negative if the received one is older.

    Args:
        known: Full sequence number that is known.
        received: Received sequence number, modulo ``SEQUENCE_MODULUS``.

    Examples:
        >>> sequence_advance(65535, 1)
        2
        >>> sequence_advance(70000, 4463)
        -1
    """
    half = SEQUENCE_MODULUS // 2
    return (received - known + half) % SEQUENCE_MODULUS - half
