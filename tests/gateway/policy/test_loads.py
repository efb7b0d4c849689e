"""Load of a target by its reports."""

import pytest
from sardinewheel_gateway.policy.loads import ReportedLoad, TargetLoad


@pytest.fixture
def load():
    """A target with one request of this host in flight."""
    load = TargetLoad()
    load.in_flight = 1
    return load


def test_request_whose_response_reports_the_load_counts_once(load):
    load.record_load_report(ReportedLoad(3, 2, 3), now=0.0)
    load.in_flight = 0
    assert load.estimate(0.0) == 4.0


def test_rejected_request_is_not_in_the_reported_load(load):
    load.record_load_report(ReportedLoad(3, 6, 3), now=0.0, was_executed=False)
    load.in_flight = 0
    assert load.estimate(0.0) == 9.0
