"""Tests of the helpers that start processes."""

from sardinewheel_testing.processes import free_address

ADDRESSES = 1000


def test_free_addresses_are_distinct():
    """The kernel may offer a port again as soon as it was released.

    Two processes of a cluster then get the same address, and one of them fails
    to start.
    """
    addresses = {free_address() for _ in range(ADDRESSES)}
    assert len(addresses) == ADDRESSES
