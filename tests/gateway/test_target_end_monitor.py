"""Which losses show that a target has ended."""

import gevent
import pytest
from sardinewheel_gateway.target_end_monitor import (
    PATH_TIMEOUT_S,
    RESOLUTION_TIMEOUT_S,
)

from tests.gateway.harness import sends_complete_response, wait_until

MARGIN_S = 0.3


def closes(sock, head, rest):
    """Script: closes the connection without a response."""
    sock.close()


@pytest.fixture
def losses():
    """Runs that ended with their target, by digest."""
    return []


@pytest.fixture
def gateway(start_gateway, losses):
    """A gateway whose target ``t0`` loses responses; ``t1`` is sound."""
    harness = start_gateway(
        closes, sends_complete_response, is_idempotent=False
    )
    monitor = harness.forwarder.sender.end_monitor
    monitor.on_loss = lambda digest, run: losses.append((digest, run))
    return harness


def lose_requests(harness, count=1):
    """Sends requests until ``t0`` has lost some."""
    number = 0
    while len(harness.targets["t0"].heads) < count:
        number += 1
        harness.send_request(number=number)


def let_target_end(harness, how):
    """Lets ``t0`` end as soon as it gets a request."""
    target = harness.targets["t0"]

    def end(sock, head, rest):
        target.server.stop()
        if how == "silent":
            gevent.sleep(10)
        sock.close()

    target.script = end


def test_a_lost_response_of_a_running_target_shows_nothing(gateway, losses):
    lose_requests(gateway)
    wait_until(lambda: not gateway.forwarder.sender.end_monitor.pending)
    assert losses == []
    assert any("target-end-not-shown" in x for x in gateway.lines())


def test_a_target_that_starts_again_soon_has_ended(gateway, losses):
    lose_requests(gateway)
    wait_until(lambda: not gateway.forwarder.sender.end_monitor.pending)
    gateway.forwarder.sender.forget_target("t0")
    assert len(losses) == 1


def test_a_target_that_starts_again_much_later_shows_nothing(gateway, losses):
    lose_requests(gateway)
    monitor = gateway.forwarder.sender.end_monitor
    wait_until(lambda: monitor.unresolved)
    (start,) = monitor.unresolved
    (lost,) = monitor.unresolved[start]
    earlier = lost.ended - RESOLUTION_TIMEOUT_S - 1.0
    monitor.unresolved[start] = [lost._replace(ended=earlier)]
    gateway.forwarder.sender.forget_target("t0")
    assert losses == []


def test_each_lost_run_counts_for_a_while_only(gateway, losses):
    lose_requests(gateway)
    monitor = gateway.forwarder.sender.end_monitor
    wait_until(lambda: monitor.unresolved)
    (start,) = monitor.unresolved
    (lost,) = monitor.unresolved[start]
    old = lost._replace(ended=lost.ended - RESOLUTION_TIMEOUT_S - 1.0)
    monitor.unresolved[start] = [old, lost]
    gateway.forwarder.sender.forget_target("t0")
    assert [run.ended for _, run in losses] == [lost.ended]


def test_requests_under_way_when_a_target_ends_are_reported(gateway, losses):
    let_target_end(gateway, "closed")
    lose_requests(gateway)
    gateway.send_request(number=2)
    wait_until(lambda: losses)
    (digest, run) = losses[0]
    assert run.target.target_id == "t0"
    assert run.began < run.ended
    assert any(
        "target-ended" in x and f"digests={digest}" in x
        for x in gateway.lines()
    )


def test_a_target_that_is_leaving_ends_by_plan(gateway, losses):
    let_target_end(gateway, "closed")
    table = gateway.routing_state.target_table
    record = table.targets["t0"].record
    target = gateway.targets["t0"]
    end = target.script

    def drain_and_end(sock, head, rest):
        table.put(record._replace(is_draining=True), now=0.0)
        end(sock, head, rest)

    target.script = drain_and_end
    lose_requests(gateway)
    gateway.send_request(number=2)
    gevent.sleep(MARGIN_S)
    assert losses == []


def test_a_lost_path_is_no_end_of_targets(gateway, losses):
    let_target_end(gateway, "closed")
    lose_requests(gateway)
    gateway.lose_path()
    gevent.sleep(PATH_TIMEOUT_S + MARGIN_S)
    assert losses == []


def test_the_registry_shows_which_targets_ended_when_none_is_reached(
    gateway, losses
):
    gateway.targets["t1"].server.stop()
    let_target_end(gateway, "closed")
    lose_requests(gateway)
    monitor = gateway.forwarder.sender.end_monitor
    wait_until(lambda: monitor.unresolved)
    gateway.forwarder.sender.forget_target("t1")
    assert losses == []
    gateway.forwarder.sender.forget_target("t0")
    assert [run.target.target_id for _, run in losses] == ["t0"]


def test_a_host_that_reaches_no_other_target_blames_none(gateway, losses):
    gateway.targets["t1"].server.stop()
    let_target_end(gateway, "closed")
    lose_requests(gateway)
    gevent.sleep(PATH_TIMEOUT_S + MARGIN_S)
    assert losses == []
