"""What a faulty target writes never ends as a false answer to a caller."""

import random

import gevent
import pytest

from tests.platform.fakes import Target, expected_body
from tests.platform.soak.callers import connect, exchange, request

REQUESTS = 60
NOT_RUN = 503


class AlwaysFaulty(random.Random):
    """Lets each request of a target have its fault."""

    def random(self):
        return 0.0


@pytest.fixture
def play(make_group):
    """Returns a function that plays a fault of two targets.

    It returns the responses by request id, and the executions of each id.
    """
    targets = []

    def run(fault):
        group = make_group("north-a")
        counts = {}
        for number in range(2):
            target = Target(
                f"t{number}",
                group.store,
                counts,
                service="orders",
                domain="north-a",
                rng=AlwaysFaulty(number),
                on_request=lambda *_: None,
            )
            target.fault = fault
            targets.append(target)
        group.start()
        responses = {}
        for number in range(REQUESTS):
            sock = connect(group.gateways[0])
            request_id = f"{number}-0"
            data = request("POST", "/non_idempotent/x", request_id, key=1)
            responses[request_id] = exchange(sock, data)
            sock.close()
            gevent.sleep(0)
        return responses, counts

    yield run
    for target in targets:
        target.crash()


@pytest.mark.parametrize("fault", ["stale", "odd"])
def test_requests_are_served_once_beside_stale_refusals_and_odd_headers(
    play, fault
):
    responses, counts = play(fault)
    assert {response[0] for response in responses.values()} == {200}
    assert all(
        response[2] == expected_body(request_id)
        for request_id, response in responses.items()
    )
    assert set(counts.values()) == {1}


def test_a_response_cut_in_its_head_is_neither_a_success_nor_not_run(play):
    responses, counts = play("cut-head")
    assert counts
    for request_id in counts:
        assert responses[request_id][0] not in (200, NOT_RUN)
    assert set(counts.values()) == {1}
