"""Which requests are refused because they crash targets."""

import random

import pytest
from sardinewheel_gateway.policy.crash_suspects import (
    MAX_REFUSED,
    MAX_RUNS,
    MAX_SUSPECTS,
    REFUSAL_EXPIRY_S,
    REFUSED_WITH_RIVAL_AFTER,
    SETTLE_S,
    SUSPICION_EXPIRY_S,
    CrashSuspects,
    Refusal,
    Run,
    TargetStart,
)

LATER_S = SETTLE_S + 0.01
RUN_S = 0.2


def run(target, ended, began=None):
    """Returns a run of 0.2 s at a target that ended at a time."""
    start = TargetStart(f"t{target}", 1000)
    return Run(start, ended - RUN_S if began is None else began, ended)


@pytest.fixture
def suspects():
    return CrashSuspects()


def lose(suspects, digest, *ends):
    """Records losses at target 1, 2, ... at the given times."""
    for target, ended in enumerate(ends, start=1):
        suspects.record_loss(digest, run(target, ended))


def test_a_request_lost_with_three_targets_in_sequence_is_refused(suspects):
    lose(suspects, "a", 1.0, 2.0, 3.0)
    assert suspects.decide(3.0 + LATER_S) == ["a"]
    assert suspects.is_refused("a", 4.0)


def test_other_hosts_get_time_to_tell_what_they_lost(suspects):
    lose(suspects, "a", 1.0, 2.0, 3.0)
    assert suspects.decide(3.0 + SETTLE_S / 2) == []


def test_two_losses_do_not_suffice(suspects):
    lose(suspects, "a", 1.0, 2.0)
    assert suspects.decide(9.0) == []
    assert suspects.is_repeat_unsafe("a")


def test_targets_that_end_at_the_same_moment_may_have_one_cause(suspects):
    lose(suspects, "a", 1.0, 1.01, 1.02, 1.03, 1.04)
    assert suspects.decide(9.0) == []


def test_the_same_target_counts_once(suspects):
    for ended in (1.0, 2.0, 3.0):
        suspects.record_loss("a", run(1, ended))
    assert suspects.decide(9.0) == []


def test_a_target_that_started_again_counts_again(suspects):
    for number, ended in enumerate((1.0, 2.0, 3.0)):
        start = TargetStart("t1", 1000 + number)
        suspects.record_loss("a", Run(start, ended - RUN_S, ended))
    assert suspects.decide(9.0) == ["a"]


def test_a_run_that_ended_well_clears_a_request(suspects):
    lose(suspects, "a", 1.0, 2.0)
    assert suspects.record_completion("a", 2.5)
    suspects.record_loss("a", run(3, 3.0))
    assert suspects.decide(9.0) == []


def test_losses_from_before_a_run_that_ended_well_show_nothing(suspects):
    suspects.record_completion("a", 2.5)
    lose(suspects, "a", 1.0, 2.0, 2.4)
    assert suspects.loss_count("a") == 0


def test_a_run_that_ended_well_lifts_a_refusal(suspects):
    suspects.refuse("a", Refusal(1.0, 1.0, 3))
    assert suspects.record_completion("a", 2.0)
    assert not suspects.is_refused("a", 3.0)


def test_a_refusal_from_before_a_run_that_ended_well_is_ignored(suspects):
    suspects.record_completion("a", 2.0)
    assert not suspects.refuse("a", Refusal(1.0, 1.0, 3))


def test_requests_beside_a_crashing_one_are_not_refused(suspects):
    lose(suspects, "guilty", 1.0, 2.0, 3.0, 4.0)
    lose(suspects, "beside", 1.0, 2.0, 3.0)
    assert suspects.decide(9.0) == ["guilty"]
    assert suspects.loss_count("beside") == 0


def test_nobody_is_refused_while_two_explain_the_same_ends(suspects):
    lose(suspects, "a", 1.0, 2.0, 3.0)
    lose(suspects, "b", 1.0, 2.0, 3.0)
    assert suspects.decide(9.0) == []
    suspects.record_loss("b", run(4, 4.0))
    assert suspects.decide(9.0) == ["b"]


def test_both_of_two_that_always_come_together_are_refused(suspects):
    ends = [float(x) for x in range(1, REFUSED_WITH_RIVAL_AFTER + 1)]
    lose(suspects, "a", *ends)
    lose(suspects, "b", *ends)
    first = suspects.decide(99.0)
    assert len(first) == 1
    # The other one is explained by it until it crashes targets without it.
    other = ({"a", "b"} - set(first)).pop()
    for target in (11, 12, 13):
        suspects.record_loss(other, run(target, 100.0 + target))
    assert suspects.decide(199.0) == [other]


def test_explained_losses_leave_room_for_others(suspects):
    ends = [float(x) for x in range(1, MAX_RUNS + 1)]
    lose(suspects, "beside", *ends)
    suspects.refuse("guilty", Refusal(9.0, 9.0, 3))
    for target, ended in enumerate(ends, start=1):
        suspects.record_loss("guilty", run(target, ended))
    for target in range(20, 23):
        suspects.record_loss("beside", run(target, float(target)))
    assert suspects.decide(99.0) == ["beside"]


def test_late_losses_of_a_refused_request_explain_their_targets(suspects):
    lose(suspects, "guilty", 1.0, 2.0, 3.0)
    suspects.decide(9.0)
    suspects.record_loss("guilty", run(4, 4.0))
    suspects.record_loss("beside", run(4, 4.0))
    assert suspects.loss_count("beside") == 0


def test_memory_is_bounded_and_the_oldest_go_first(suspects):
    for number in range(MAX_SUSPECTS + 10):
        suspects.record_loss(str(number), run(number, float(number)))
    assert len(suspects.runs) == MAX_SUSPECTS
    assert "0" not in suspects.runs
    for number in range(MAX_REFUSED + 10):
        suspects.refuse(str(number), Refusal(1.0, 1.0, 3))
        suspects.is_refused("0", 2.0)
    assert len(suspects.refused) == MAX_REFUSED
    assert "0" in suspects.refused
    assert "1" not in suspects.refused


def test_a_refusal_is_forgotten_once_nobody_asks_any_more(suspects):
    lose(suspects, "b", 1.0)
    suspects.refuse("a", Refusal(1.0, 1.0, 3))
    suspects.is_refused("a", 50.0)
    assert suspects.expire(REFUSAL_EXPIRY_S + 1.5) == []
    assert suspects.expire(REFUSAL_EXPIRY_S + 50.5) == ["a"]
    assert suspects.loss_count("b") == 0


def test_a_suspicion_expires(suspects):
    lose(suspects, "a", 1.0, 2.0)
    suspects.expire(2.0 + SUSPICION_EXPIRY_S + 1.0)
    assert suspects.runs == {}


class CrashingFleet:
    """Targets that crash for reasons of their own, all seen by one host.

    Attributes:
        running: End and digest of each run, by target.
    """

    def __init__(self, seed, *, targets=12):
        self.rng = random.Random(seed)
        self.suspects = CrashSuspects()
        self.running = {target: [] for target in range(targets)}
        self.starts = dict.fromkeys(self.running, 0)
        self.now = 0.0
        self.refused = []

    def advance(self, seconds):
        """Ends runs that are due and decides."""
        self.now += seconds
        for runs in self.running.values():
            for item in [x for x in runs if x[1] <= self.now]:
                runs.remove(item)
                self.suspects.record_completion(item[2], item[1])
        self.refused += self.suspects.decide(self.now)

    def send(self, digest, duration_s, tries=2):
        """Sends a request to a random target."""
        target = self.rng.choice(list(self.running))
        end = self.now + duration_s
        self.running[target].append((self.now, end, digest, tries))

    def crash(self, targets):
        """Ends targets; what ran there and has tries left is sent again."""
        lost = []
        for target in targets:
            start = TargetStart(str(target), self.starts[target])
            self.starts[target] += 1
            lost += [(start, *fields) for fields in self.running[target]]
            self.running[target] = []
        for start, began, end, digest, tries in lost:
            loss = Run(start, began, self.now)
            self.suspects.record_loss(digest, loss)
            if tries > 1:
                self.send(digest, end - began, tries - 1)


@pytest.mark.parametrize("at_once", [1, 4])
def test_a_day_of_crashes_refuses_no_sound_request(at_once):
    for seed in range(20):
        fleet = CrashingFleet(seed)
        for step in range(1200):
            fleet.advance(0.02)
            if fleet.rng.random() < 0.3:
                fleet.send("popular", 0.4)
            fleet.send(f"unique-{step}", 0.3, tries=4)
            if step % (50 * at_once) == 0:
                fleet.crash(fleet.rng.sample(list(fleet.running), at_once))
        assert fleet.refused == []
