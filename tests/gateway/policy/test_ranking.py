"""Cached ranks stay correct when members join and leave."""

from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy.ranking import (
    MAX_CACHED_RANKS,
    Ranking,
    ranked,
)

MEMBERS = [f"t{n:02}" for n in range(24)]
KEYS = ["a", "b", "c"]
SETS = st.lists(st.sets(st.sampled_from(MEMBERS)), min_size=1, max_size=12)


@given(SETS)
def test_cached_ranks_match_the_full_order(changes):
    ranking = Ranking()
    for members in changes:
        ranking.set_members(tuple(sorted(members)))
        for key in KEYS:
            whole = ranked(key, members)
            first = ranking.first(key, keep=True)
            assert first == whole[: len(first)]
            assert len(first) >= min(2, len(members))
            assert ranking.full_order(key) == whole


def test_cache_stays_bounded_when_members_join():
    ranking = Ranking()
    for count in range(len(MEMBERS)):
        ranking.set_members(tuple(MEMBERS[:count]))
        assert len(ranking.first("a", keep=True)) <= MAX_CACHED_RANKS


def test_keys_that_are_not_kept_are_not_cached():
    ranking = Ranking()
    ranking.set_members(tuple(MEMBERS))
    ranking.first("a", keep=False)
    assert ranking.cached_ranks == {}
