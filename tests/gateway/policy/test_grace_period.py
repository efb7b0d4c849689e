"""Which requests a host that stops may still send."""

from sardinewheel_gateway.policy.grace_period import GracePeriod

GRACE_PERIOD = GracePeriod(accepts_until=2.5, ends_at=5.0)
FAR_DEADLINE = 20.0


def has_time(**fields):
    return GRACE_PERIOD.has_time(**fields)


def test_a_request_whose_deadline_comes_first_is_sent_until_the_end():
    assert has_time(deadline=5.0, finish_s=float("inf"), now=4.9)


def test_a_request_that_may_outlast_the_host_is_not_sent():
    assert not has_time(deadline=5.01, finish_s=float("inf"), now=0.0)
    assert not has_time(deadline=FAR_DEADLINE, finish_s=1.6, now=2.0)
    assert has_time(deadline=FAR_DEADLINE, finish_s=1.4, now=2.0)


def test_late_requests_are_not_sent_on_an_estimate():
    assert not has_time(deadline=FAR_DEADLINE, finish_s=0.1, now=2.6)
