"""When a host's path to all targets counts as lost, and as regained."""

import random

from sardinewheel_gateway.policy.reachability import (
    MIN_RETURN_ROUNDS,
    RETURN_RAMP_S,
    ROUND_TARGETS,
    Reachability,
    round_targets,
)
from sardinewheel_gateway.policy.targets import Target

from tests.gateway.policy.test_targets import record

MANY = 30


def suspect_path():
    path = Reachability(now=0.0)
    path.record_failure("t0")
    path.record_failure("t1")
    return path


def lost_path(*, now=1.0):
    path = suspect_path()
    assert fail_round(path, now=now).is_lost
    return path


def fail_round(path, *, now):
    return path.record_round(
        reached=0, tried=ROUND_TARGETS, began=now - 0.25, now=now
    )


def pass_round(path, *, now):
    return path.record_round(
        reached=ROUND_TARGETS, tried=ROUND_TARGETS, began=now - 0.25, now=now
    )


def rounds_until_regained(path, *, now):
    """Returns the successful rounds after which a path is regained."""
    rounds = 1
    while pass_round(path, now=now) is None:
        rounds += 1
    return rounds


def test_failures_of_one_target_never_make_the_path_suspect():
    path = Reachability(now=0.0)
    for _ in range(100):
        path.record_failure("t0")
    assert not path.is_suspect(MANY)


def test_failures_of_several_targets_in_a_row_make_the_path_suspect():
    assert suspect_path().is_suspect(MANY)


def test_a_target_that_was_reached_in_between_clears_the_suspicion():
    path = Reachability(now=0.0)
    path.record_failure("t0")
    path.record_reached(now=0.1)
    path.record_failure("t1")
    assert not path.is_suspect(MANY)


def test_the_only_target_is_enough_for_a_suspicion():
    path = Reachability(now=0.0)
    path.record_failure("t0")
    assert path.is_suspect(1)


def test_a_suspect_path_is_not_lost_if_the_round_reaches_one_target():
    path = suspect_path()
    assert path.record_round(reached=1, tried=4, began=1.0, now=1.2) is None
    assert not path.is_lost
    assert not path.is_suspect(MANY)


def test_a_response_during_a_failed_round_keeps_the_path():
    path = suspect_path()
    path.record_reached(now=1.1)
    assert path.record_round(reached=0, tried=4, began=1.0, now=1.2) is None
    assert not path.is_lost


def test_a_round_without_targets_decides_nothing():
    path = suspect_path()
    assert path.record_round(reached=0, tried=0, began=1.0, now=1.2) is None
    assert not path.is_lost


def test_responses_over_old_connections_do_not_regain_the_path():
    path = lost_path()
    for step in range(20):
        path.record_reached(now=1.0 + 0.1 * step)
    assert path.is_lost


def test_a_lost_path_needs_several_good_rounds_in_a_row():
    path = lost_path()
    assert pass_round(path, now=2.0) is None
    assert fail_round(path, now=2.3) is None
    assert rounds_until_regained(path, now=3.0) == MIN_RETURN_ROUNDS
    assert not path.is_lost


def test_a_path_lost_again_and_again_returns_later_each_time():
    path = lost_path(now=1.0)
    rounds = []
    for now in (2.0, 4.0, 6.0):
        rounds.append(rounds_until_regained(path, now=now))
        path.record_failure("t0")
        path.record_failure("t1")
        fail_round(path, now=now + 1.0)
    assert rounds == sorted(set(rounds))


def test_requests_return_gradually_to_a_regained_path():
    path = lost_path()
    assert path.local_share(now=2.0) == 0.0
    rounds_until_regained(path, now=3.0)
    shares = [path.local_share(now=3.0 + RETURN_RAMP_S * x / 4) for x in (1, 4)]
    assert shares == [0.25, 1.0]


def test_a_path_that_was_never_lost_takes_all_requests():
    assert Reachability(now=5.0).local_share(now=5.0) == 1.0


def test_a_round_spreads_over_domains_and_prefers_targets_not_failed():
    targets = [
        Target(record(f"{domain}{n}", domain=domain), now=0.0)
        for domain in ("a", "b", "c", "d")
        for n in range(5)
    ]
    failed = {f"{domain}{n}" for domain in "abcd" for n in range(4)}
    chosen = round_targets(targets, failed, random.Random(3))
    assert {x.record.target_id for x in chosen} == {"a4", "b4", "c4", "d4"}
