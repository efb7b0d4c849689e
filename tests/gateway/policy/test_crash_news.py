"""News of crashing requests between hosts."""

import pytest
from sardinewheel_gateway.policy import crash_news
from sardinewheel_gateway.policy.crash_news import (
    MAX_ITEMS,
    MAX_QUEUED,
    ROUNDS,
    Completion,
    Loss,
    NewsQueue,
    Refused,
)
from sardinewheel_gateway.policy.crash_suspects import (
    Refusal,
    Run,
    TargetStart,
)

DIGEST = "0123456789abcdef"
LOSS = Loss(DIGEST, Run(TargetStart("t1", 1000), 5.0, 5.5))
ITEMS = [LOSS, Completion(DIGEST, 6.0), Refused(DIGEST, Refusal(7.0, 8.0, 3))]


def test_times_arrive_as_ages():
    plain = crash_news.to_plain(ITEMS, now=10.0)
    loss, completion, refused = crash_news.from_plain(plain, now=110.0)
    assert loss.run == Run(TargetStart("t1", 1000), 105.0, 105.5)
    assert completion.at == 106.0
    assert refused.refusal == Refusal(107.0, 108.0, 3)


def test_times_after_the_present_are_sent_as_the_present():
    plain = crash_news.to_plain(ITEMS, now=4.0)
    for item in crash_news.from_plain(plain, now=4.0):
        assert item.digest == DIGEST


@pytest.mark.parametrize(
    "plain",
    [
        [crash_news.LOSS, DIGEST, "t1", 1000, 1.0],
        [crash_news.LOSS, DIGEST, "t1", 1000, float("nan"), 1.0],
        [crash_news.LOSS, DIGEST, "t1", 1000, -1.0, 1.0],
        [crash_news.LOSS, DIGEST, "t1", "x", 1.0, 1.0],
        [crash_news.COMPLETION, "short", 1.0],
        [crash_news.COMPLETION, DIGEST, 1e9],
        [crash_news.COMPLETION, DIGEST, -1.0],
        [crash_news.COMPLETION, DIGEST, None],
        [crash_news.REFUSAL, DIGEST, 3, 1.0, 1e9],
        [crash_news.REFUSAL, 7, 3, 1.0, 1.0],
        [],
    ],
)
def test_malformed_items_raise(plain):
    with pytest.raises((TypeError, ValueError)):
        crash_news.from_plain([plain], now=10.0)


def test_each_item_is_passed_on_in_a_few_rounds():
    queue = NewsQueue()
    queue.add(LOSS)
    assert [queue.take() for _ in range(ROUNDS + 1)] == [
        *([LOSS] for _ in range(ROUNDS)),
        [],
    ]


def test_a_round_is_bounded_and_refusals_go_first():
    queue = NewsQueue()
    for number in range(MAX_QUEUED + 5):
        queue.add(LOSS._replace(digest=str(number)))
    queue.add(ITEMS[2])
    taken = queue.take()
    assert len(taken) == MAX_ITEMS
    assert taken[0] == ITEMS[2]
    assert len(queue.rounds_left) <= MAX_QUEUED
