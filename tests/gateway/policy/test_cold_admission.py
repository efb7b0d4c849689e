"""Requests to a cold target stay bounded over all hosts together."""

import random

from sardinewheel_gateway.policy.cold_admission import ColdAdmission, ColdBound

BOUND = ColdBound(excess=1.5, slack=5.0)
RATE_PER_S = 2.7
HOSTS = tuple(f"host-{n}" for n in range(11))


def max_per_second(times):
    times = sorted(times)
    return max(
        sum(1 for t in times if start <= t < start + 1.0) for start in times
    )


def simulate(views):
    """Sends all admitted requests for 5 s; returns the times of sending.

    Args:
        views: Hosts known to each host, by name.
    """
    rng = random.Random(7)
    admissions = []
    for name, known in views.items():
        admission = ColdAdmission(name, BOUND)
        admission.set_hosts(known)
        admissions.append(admission)
    sent = []
    for step in range(500):
        now = step / 100
        rng.shuffle(admissions)
        for admission in admissions:
            if admission.admits("t1", RATE_PER_S, now):
                admission.record_dispatch("t1", now)
                sent.append(now)
    return sent


def test_all_hosts_together_keep_the_bound():
    sent = simulate(dict.fromkeys(HOSTS, HOSTS))
    assert sent
    assert max_per_second(sent) <= RATE_PER_S * 1.5 + 5.0


def test_two_groups_of_hosts_unknown_to_each_other_keep_the_bound():
    left, right = HOSTS[:5], HOSTS[5:]
    views = dict.fromkeys(left, left) | dict.fromkeys(right, right)
    assert max_per_second(simulate(views)) <= RATE_PER_S * 1.5 + 5.0


def test_target_with_a_very_low_rate_still_gets_a_request():
    admission = ColdAdmission("host-1", ColdBound(excess=1.0, slack=0.0))
    assert admission.admits("t1", 0.5, 0.0)
