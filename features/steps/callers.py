"""Steps in which several merchants send requests concurrently."""

import contextlib
import itertools
import threading
import time
from collections import Counter

from behave import then, when
from sardinewheel_entry import headers

READING_CALLERS = 20
READ_INTERVAL_S = 0.02


def outcome(response):
    return response.headers.get(headers.OUTCOME.lower(), "")


def call_concurrently(context, count, send):
    """Calls ``send(seat, number)`` concurrently; returns the results."""
    seats = itertools.cycle(context.cluster.addresses)
    numbered_seats = list(zip(seats, range(count), strict=False))
    return list(context.callers.map(lambda item: send(*item), numbered_seats))


@when("{count:d} merchants confirm a commission concurrently")
def confirm_concurrently(context, count):
    cluster = context.cluster
    ids = {
        seat: [cluster.new_request_id(seat) for _ in range(count)]
        for seat in cluster.addresses
    }

    def send(seat, number):
        request_id = ids[seat][number]
        response = cluster.request(seat, kind="confirm", request_id=request_id)
        return seat, request_id, response

    context.confirmations = call_concurrently(context, count, send)


@when("every refused merchant retries with the same request id")
def retry_refused(context):
    refused = [
        (seat, request_id)
        for seat, request_id, response in context.confirmations
        if outcome(response) == "not-run"
    ]
    assert refused
    for seat, request_id in refused:
        context.cluster.request(seat, kind="confirm", request_id=request_id)


@then("every merchant receives an answer")
def all_answered(context):
    outcomes = Counter(outcome(r) for _, _, r in context.confirmations)
    assert set(outcomes) <= {"done", "not-run"}, outcomes
    assert outcomes["not-run"] > 0 and outcomes["done"] > 0, outcomes


@then('no confirmation that was refused as "not run" has run')
def refused_not_run(context):
    executions = context.cluster.executions()
    for _, request_id, response in context.confirmations:
        if outcome(response) == "not-run":
            assert executions[request_id] == 0, request_id


@then('every confirmation that was answered "done" ran once')
def done_ran_once(context):
    executions = context.cluster.executions()
    for _, request_id, response in context.confirmations:
        if outcome(response) == "done":
            assert executions[request_id] == 1, request_id


@then("every refusal has a retry delay")
def refusals_have_retry_delay(context):
    for _, _, response in context.confirmations:
        if outcome(response) == "not-run":
            retry_after_ms = response.headers[headers.RETRY_AFTER_MS.lower()]
            assert int(retry_after_ms) > 0


@when("{count:d} merchants read a status concurrently")
def read_concurrently(context, count):
    context.reads = call_concurrently(
        context, count, lambda seat, _: context.cluster.request(seat)
    )


@then("some statuses were read")
def some_read(context):
    assert "done" in {outcome(response) for response in context.reads}


@when("merchants read statuses continuously")
def start_reading(context):
    context.stop_reading = threading.Event()
    context.reading = [
        context.callers.submit(read_until_stopped, context, seat)
        for seat in itertools.islice(
            itertools.cycle(context.cluster.addresses), READING_CALLERS
        )
    ]
    context.resources.callback(context.stop_reading.set)


def read_until_stopped(context, seat):
    """Reads statuses, with cached look-ups; returns the count by outcome."""
    counts = Counter()
    cached = CachedLookup(context.cluster, seat)
    while not context.stop_reading.wait(READ_INTERVAL_S):
        try:
            response = context.cluster.request(cached.host())
            counts[outcome(response)] += 1
        except OSError as error:
            cause = getattr(error, "reason", error)
            is_refused = isinstance(cause, ConnectionRefusedError)
            counts["refused-connection" if is_refused else "interrupted"] += 1
            cached.invalidate()
    return counts


class CachedLookup:
    """A look-up that is repeated once its time to live has expired."""

    def __init__(self, cluster, seat):
        self.cluster = cluster
        self.seats = itertools.cycle([seat, *cluster.addresses])
        self.invalidate()

    def invalidate(self):
        self.valid_until = 0.0

    def host(self):
        if time.monotonic() >= self.valid_until:
            self._refresh()
        return self.name

    def _refresh(self):
        for seat in itertools.islice(
            self.seats, len(self.cluster.addresses) + 1
        ):
            with contextlib.suppress(OSError):
                found = self.cluster.look_up(seat)
                self.name = found["hosts"][0]["host"]
                self.valid_until = time.monotonic() + found["ttl_ms"] / 1000
                return
        raise AssertionError("no entry host answered a look-up")


@when("the merchants stop reading")
@then("the merchants stop reading")
def stop_reading(context):
    context.stop_reading.set()
    context.read_counts = sum(
        (future.result() for future in context.reading), Counter()
    )
    assert context.read_counts["done"] > 0


@then("no status read was interrupted")
def no_read_interrupted(context):
    assert context.read_counts["interrupted"] == 0, context.read_counts


@then("no region exceeded a weight of {cap:d} in flight")
def within_cap(context, cap):
    regions = context.cluster.report()["regions"]
    most = {name: region["most"] for name, region in regions.items()}
    assert max(most.values()) > 0
    assert all(weight <= cap for weight in most.values()), most
