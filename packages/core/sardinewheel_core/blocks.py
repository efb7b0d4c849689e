"""Maps the address block of a caller to a region.

Millions of blocks fit in memory as flat sorted arrays: nested blocks are
flattened into non-overlapping ranges, and a look-up bisects them. Only the
upper 64 bits of IPv6 blocks are used.
"""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_core.intent import Block

V6_LOWER_BITS = 64
NO_REGION = 0

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class Span(NamedTuple):
    """An address block as a range of integers, with the index of its region."""

    first: int
    last: int
    region: int


def parse_block(text: str) -> Network | None:
    """Parses an address block or a single address; ``None`` if malformed.

    Examples:
        >>> parse_block("203.0.113.7")
        IPv4Network('203.0.113.7/32')
        >>> parse_block("not a block") is None
        True
    """
    try:
        return ipaddress.ip_network(text, strict=False)
    except ValueError:
        return None


class RangeTable:
    """Non-overlapping ranges of integers, each with the index of a region.

    Attributes:
        starts: First value of each range, ascending.
        regions: Index of each range's region; 0 means none.
    """

    def __init__(self, typecode: str):
        self.starts = array(typecode)
        self.regions = array("H")

    def fill(self, spans: Iterable[Span]) -> None:
        """Flattens blocks, which are nested or disjoint, into ranges.

        Args:
            spans: Blocks, ordered by first value, enclosing blocks first.
        """
        enclosing: list[Span] = []
        for span in spans:
            self._close(enclosing, before=span.first)
            self._start(span.first, span.region)
            enclosing.append(span)
        self._close(enclosing, before=None)

    def region_at(self, value: int) -> int:
        """Returns the index of the region that a value belongs to."""
        index = bisect_right(self.starts, value) - 1
        return self.regions[index] if index >= 0 else NO_REGION

    def _close(self, enclosing: list[Span], *, before: int | None) -> None:
        while enclosing and (before is None or enclosing[-1].last < before):
            ended = enclosing.pop()
            outer = enclosing[-1].region if enclosing else NO_REGION
            self._start(ended.last + 1, outer)

    def _start(self, first: int, region: int) -> None:
        if self.starts and self.starts[-1] == first:
            self.regions[-1] = region
        elif first.bit_length() <= self.starts.itemsize * 8:
            self.starts.append(first)
            self.regions.append(region)


class BlockTable:
    """Regions by address block of the callers.

    Attributes:
        names: Names of the regions; index 0 means no region.
        v4: Ranges of IPv4 addresses.
        v6: Ranges of the upper 64 bits of IPv6 addresses.

    Examples:
        >>> table = BlockTable.from_blocks(
        ...     [
        ...         Block("203.0.113.0/24", "costa"),
        ...         Block("203.0.113.64/26", "austro"),
        ...     ]
        ... )
        >>> table.region_of("203.0.113.70"), table.region_of("203.0.113.1")
        ('austro', 'costa')
        >>> table.region_of("198.51.100.1") is None
        True
    """

    def __init__(self):
        self.names: list[str] = [""]
        self.v4 = RangeTable("I")
        self.v6 = RangeTable("Q")

    @classmethod
    def from_blocks(cls, blocks: Iterable[Block]) -> "BlockTable":
        """Builds a table from blocks; malformed ones are skipped."""
        table = cls()
        indexes: dict[str, int] = {}
        spans_v4: list[Span] = []
        spans_v6: list[Span] = []
        for block in blocks:
            network = parse_block(block.prefix)
            if network is None:
                continue
            if block.region not in indexes:
                indexes[block.region] = len(table.names)
                table.names.append(block.region)
            span = _to_span(network, indexes[block.region])
            (spans_v4 if network.version == 4 else spans_v6).append(span)  # noqa: PLR2004
        table.v4.fill(_ordered(spans_v4))
        table.v6.fill(_ordered(spans_v6))
        return table

    def region_of(self, block: str) -> str | None:
        """Returns the region of the smallest block that contains an address."""
        network = parse_block(block)
        if network is None:
            return None
        ranges = self.v4 if network.version == 4 else self.v6  # noqa: PLR2004
        index = ranges.region_at(_to_span(network, NO_REGION).first)
        return self.names[index] if index else None


def _to_span(network: Network, region: int) -> Span:
    first = int(network.network_address)
    last = int(network.broadcast_address)
    if network.version == 4:  # noqa: PLR2004
        return Span(first, last, region)
    return Span(first >> V6_LOWER_BITS, last >> V6_LOWER_BITS, region)


def _ordered(spans: list[Span]) -> list[Span]:
    return sorted(spans, key=lambda span: (span.first, -span.last))
