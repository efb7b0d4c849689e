"""What hosts tell each other of the requests at targets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy import load_news
from sardinewheel_gateway.policy.load_news import LoadItem, LoadNews

NOW = 1000.0
ITEMS = st.builds(
    LoadItem,
    target_key=st.integers(0, 2**32 - 1),
    at=st.floats(NOW - 60.0, NOW),
    requests=st.none() | st.integers(0, load_news.MAX_REQUESTS),
)


@given(st.lists(ITEMS, max_size=9))
def test_items_survive_packing(items):
    unpacked = list(load_news.unpack(load_news.pack(items, NOW), NOW))
    assert len(unpacked) == len(items)
    for before, after in zip(items, unpacked, strict=True):
        assert after.at == pytest.approx(before.at, abs=0.0011)
        assert after._replace(at=0.0) == before._replace(at=0.0)


def test_a_number_of_requests_out_of_range_is_no_sent_request():
    data = load_news.pack([LoadItem(1, NOW, 10_000)], NOW)
    (item,) = load_news.unpack(data, NOW)
    assert item.requests == load_news.MAX_REQUESTS


@pytest.mark.parametrize("age_s", [-5.0, 1e6])
def test_an_age_out_of_range_is_the_nearest(age_s):
    data = load_news.pack([LoadItem(1, NOW - age_s, 3)], NOW)
    (item,) = load_news.unpack(data, NOW)
    assert NOW - 66.0 < item.at <= NOW


def test_news_with_a_partial_entry_are_refused():
    data = load_news.pack([LoadItem(1, NOW, 3)], NOW)
    with pytest.raises(ValueError, match="6 bytes"):
        list(load_news.unpack(data[:-1], NOW))


def test_news_that_are_not_taken_stay_bounded():
    news = LoadNews()
    for number in range(3 * load_news.MAX_ITEMS):
        news.add(LoadItem(number, NOW, None))
    items = news.take()
    assert len(items) == load_news.MAX_ITEMS
    assert items[-1].target_key == 3 * load_news.MAX_ITEMS - 1
    assert not news.take()
