"""Division of a service's room, each test named after its load."""

from sardinewheel_gateway.policy.fair_share import FairShare

REQUEST_SLOT_S = 0.5


def offer(share, rates, *, until, admits):
    """Offers requests at rates per second; returns served shares by key."""
    served = dict.fromkeys(rates, 0)
    steps = int(until * 100)
    credits = dict.fromkeys(rates, 0.0)
    for step in range(steps):
        now = step / 100
        for key, rate in rates.items():
            credits[key] += rate / 100
            if credits[key] < 1.0:
                continue
            credits[key] -= 1.0
            is_admitted = admits(key, now)
            served[key] += is_admitted
            share.record(key, REQUEST_SLOT_S, now=now, is_admitted=is_admitted)
    return {key: served[key] / (rates[key] * until) for key in rates}


class Queue:
    """A queue with little room, in which excess demand is refused first.

    Attributes:
        requests: Requests in the queue.
    """

    def __init__(self, share, *, served_per_s):
        self.share = share
        self.served_per_s = served_per_s
        self.requests = 0.0
        self.at = 0.0

    def admits(self, key, now):
        drained = self.served_per_s * (now - self.at)
        self.requests = max(0.0, self.requests - drained)
        self.at = now
        bound = 2.0 if self.share.is_over(key, now) else 4.0
        is_admitted = self.requests < bound
        self.requests += is_admitted
        return is_admitted


def test_account_at_seven_times_its_usual_pays_itself():
    """Demand is 50 a second on room for 25."""
    share = FairShare()
    queue = Queue(share, served_per_s=25.0)
    rates = {"hot": 35.0, "a": 5.0, "b": 5.0, "c": 5.0}
    served = offer(share, rates, until=20.0, admits=queue.admits)
    assert min(served[key] for key in "abc") > 0.95
    all_served = sum(served[key] * rates[key] for key in rates) / 50.0
    assert served["hot"] > 0.25 * all_served


def test_key_that_is_served_much_less_often_is_starved_and_not_over():
    share = FairShare()
    rates = {"a": 10.0, "b": 10.0}
    offer(share, rates, until=5.0, admits=lambda key, now: key == "a")
    assert share.is_starved("b", 5.0)
    assert not share.is_over("b", 5.0)
    assert not share.is_starved("a", 5.0)


def test_larger_weight_earns_a_larger_share():
    share = FairShare()
    for _ in range(10):
        share.record("large", 1.0, now=0.0, is_admitted=True, weight=10.0)
        share.record("small", 1.0, now=0.0, is_admitted=True)
    for key, weight in (("large", 10.0), ("small", 1.0)):
        share.record(key, 2.0, now=0.0, is_admitted=False, weight=weight)
    assert share.is_over("small", 0.0)
    assert not share.is_over("large", 0.0)


def test_nobody_is_over_its_share_while_all_are_admitted():
    share = FairShare()
    rates = {"hot": 70.0, "usual": 10.0}
    offer(share, rates, until=5.0, admits=lambda key, now: True)
    assert not share.is_over("hot", 5.0)


def test_keys_without_recent_demand_are_forgotten():
    share = FairShare()
    share.record("a", 1.0, now=0.0, is_admitted=True)
    assert not share.is_over("a", 60.0)
    assert not share.demands
