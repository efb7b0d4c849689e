"""Digests of the status of hosts."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from sardinewheel_gateway.policy import digests
from sardinewheel_gateway.policy.digests import HostStatus

STATUSES = st.builds(
    HostStatus,
    host_id=st.integers(0, 2**32 - 1),
    sequence=st.integers(0, digests.SEQUENCE_MODULUS - 1),
    age_s=st.floats(0.0, digests.MAX_AGE_S),
    is_ready=st.booleans(),
    store=st.integers(0, 2),
    reaches_targets=st.booleans(),
)


@example([HostStatus(0, 0, 0.85, False, 0)])
@given(st.lists(STATUSES, max_size=9))
def test_statuses_survive_packing(statuses):
    unpacked = list(digests.unpack(digests.pack(statuses)))
    assert len(unpacked) == len(statuses)
    for before, after in zip(statuses, unpacked, strict=True):
        assert after._replace(age_s=0.0) == before._replace(age_s=0.0)
        units = after.age_s / digests.AGE_UNIT_S
        assert round(units) == int(before.age_s / digests.AGE_UNIT_S)
        assert units == pytest.approx(round(units), abs=1e-9)


def test_digest_with_a_partial_entry_is_refused():
    digest = digests.pack([HostStatus(1, 2, 0.0, True, 0)])
    with pytest.raises(ValueError, match="7 bytes"):
        list(digests.unpack(digest[:-1]))


def test_id_differs_between_incarnations():
    assert digests.host_id("a", 1) != digests.host_id("a", 2)


@pytest.mark.parametrize(
    ("known", "received", "advance"),
    [
        (5, 6, 1),
        (5, 5, 0),
        (5, 4, -1),
        (65535, 0, 1),
        (65536 + 3, 2, -1),
        (5, 5 + 32767, 32767),
        (5, 5 + 32768, -32768),
    ],
)
def test_sequence_numbers_are_compared_across_the_wrap(
    known, received, advance
):
    assert digests.sequence_advance(known, received) == advance
