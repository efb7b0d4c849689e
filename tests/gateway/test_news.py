"""News of operators and targets change what a host believes."""

import random

import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.news import News
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    OperatorsUpdate,
    RecordChange,
    TargetsUpdate,
    Update,
    from_plain,
    to_plain,
)

from tests.gateway.house import BOUNDS, LIMITS
from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_targets import record

WHOLE = TargetsUpdate(
    NO_POSITION,
    10,
    (RecordChange("t1", 5, record("t1")), RecordChange("t2", 6, record("t2"))),
)
SILENCE_S = 4.0
GONE = TargetsUpdate(10, 11, (RecordChange("t1", 11, None),))


@pytest.fixture
def news():
    host_table = HostTable(state("a"))
    gossip = Gossip("127.0.0.1:0", host_table, [], Log(host="a"))
    rng = random.Random(7)
    made = News(
        routing_state=RoutingState(
            host="a", bounds=BOUNDS, regions={}, rng=rng
        ),
        gossip=gossip,
        log=gossip.log,
        rng=rng,
        silence_s=SILENCE_S,
        on_change=lambda: None,
        on_target_gone=lambda target_id: None,
    )
    made.heard_from_host(Update(targets=WHOLE), "b")
    yield made
    gossip.stop()


def usable(news):
    found = news.routing_state.target_table.usable("orders")
    return [target.record.target_id for target in found]


def settle_follower(news):
    """Lets another host follow the store for a long while."""
    now = clock.steady()
    for beat in range(20):
        follower = state("c", store=StoreAccess.FOLLOWING, sequence=beat + 1)
        news.gossip.host_table.record_heartbeat(
            follower, now=now - 8.0 + beat * 0.41
        )


def test_a_record_that_is_gone_ends_new_work(news):
    news.heard_from_host(Update(targets=GONE), "b")
    assert usable(news) == ["t2"]
    assert news.positions.targets == 11


def test_after_an_absence_of_the_store_a_missing_record_gets_time(news):
    news.registry_returned(away_s=5.0)
    news.heard_from_store(Update(targets=GONE))
    assert usable(news) == ["t1", "t2"]


def test_the_store_was_not_away_if_another_host_followed_it(news):
    settle_follower(news)
    news.registry_returned(away_s=9.96)
    news.heard_from_store(Update(targets=GONE))
    assert usable(news) == ["t2"]


def test_word_of_an_absence_is_not_believed_against_a_settled_follower(news):
    settle_follower(news)
    news.heard_from_host(Update(targets=GONE._replace(away_s=9.96)), "b")
    assert usable(news) == ["t2"]


def test_word_of_an_absence_is_passed_on_otherwise(news):
    news.heard_from_host(Update(targets=GONE._replace(away_s=5.0)), "b")
    assert usable(news) == ["t1", "t2"]


def test_a_gap_is_not_applied(news):
    late = GONE._replace(before=20, after=21)
    news.heard_from_host(Update(targets=late), "b")
    assert usable(news) == ["t1", "t2"]
    assert news.relay.hint.is_set()


def test_an_evacuation_does_not_hide_a_configuration_that_was_missed(news):
    heard = OperatorsUpdate(7, None, frozenset({"north-a"}), version=12)
    news.heard_from_host(Update(operators=heard), "b")
    assert news.positions.operators < 7
    assert news.relay.hint.is_set()


def test_a_follower_tells_which_configuration_its_news_go_with(news):
    configuration = Configuration(12, (), {}, LIMITS)
    whole = OperatorsUpdate(6, configuration, frozenset())
    news.heard_from_store(Update(operators=whole))
    told = []
    news.relay.push = told.append
    evacuated = OperatorsUpdate(7, None, frozenset({"north-a"}))
    news.heard_from_store(Update(operators=evacuated))
    assert told[0].operators.version == 12
    assert from_plain(to_plain(told[0])) == told[0]
    news.heard_from_host(Update(operators=told[0].operators), "b")
    assert news.positions.operators == 7


def test_a_host_that_the_store_no_longer_tells_counts_as_away(news):
    news.gossip.change(store=StoreAccess.FOLLOWING)
    news.store_lags()
    assert news.gossip.host_table.own.store is StoreAccess.AWAY
    news.store_answers()
    assert news.gossip.host_table.own.store is StoreAccess.FOLLOWING


def test_a_silent_store_is_noticed_in_time_also_if_it_is_to_all_hosts(news):
    far = state("d", region="south", store=StoreAccess.FOLLOWING)
    news.gossip.host_table.record_heartbeat(far, now=clock.steady())
    waits = [news.feed_wait_s for _ in range(200)]
    assert max(waits) < SILENCE_S - 1.0
    assert min(waits) > 1.0
    assert max(waits) - min(waits) > 0.5


def test_the_store_is_asked_more_often_where_no_other_region_would_tell(news):
    waits = [news.feed_wait_s for _ in range(200)]
    assert max(waits) < SILENCE_S / 2
