"""Lookup of a caller's region, compared with a linear search."""

import ipaddress

from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_core.blocks import BlockTable
from sardinewheel_core.intent import Block

REGIONS = ("sierra-norte", "austro", "costa")


def linear_search(blocks, address):
    matches = [
        (ipaddress.ip_network(b.prefix, strict=False).prefixlen, i)
        for i, b in enumerate(blocks)
        if address in ipaddress.ip_network(b.prefix, strict=False)
    ]
    return blocks[max(matches)[1]].region if matches else None


@st.composite
def block_lists(draw):
    count = draw(st.integers(0, 12))
    networks = {}
    for _ in range(count):
        first = draw(st.integers(0, 255)) << 24 | draw(st.integers(0, 255))
        length = draw(st.integers(0, 32))
        network = ipaddress.ip_network((first, length), strict=False)
        networks[str(network)] = draw(st.sampled_from(REGIONS))
    return [Block(prefix, region) for prefix, region in networks.items()]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(block_lists(), st.integers(0, 2**32 - 1))
def test_table_agrees_with_linear_search(blocks, value):
    table = BlockTable.from_blocks(blocks)
    edges = [
        int(edge)
        for b in blocks
        for edge in (
            ipaddress.ip_network(b.prefix).network_address,
            ipaddress.ip_network(b.prefix).broadcast_address,
        )
    ]
    for number in {value, *edges, *(max(0, e - 1) for e in edges)}:
        address = ipaddress.IPv4Address(number)
        assert table.region_of(str(address)) == linear_search(blocks, address)


def test_ipv6_blocks_are_distinguished_by_their_upper_64_bits():
    blocks = [
        Block("2001:db8::/32", "costa"),
        Block("2001:db8:1::/48", "austro"),
    ]
    table = BlockTable.from_blocks(blocks)
    assert table.region_of("2001:db8:1::7") == "austro"
    assert table.region_of("2001:db8:2::7") == "costa"
    assert table.region_of("2001:db9::7") is None
