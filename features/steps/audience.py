"""Steps in which merchants and directors call, one or many at a time."""

import contextlib
import itertools
import threading
import time
from collections import Counter

from behave import then, when
from sardinewheel_entry import headers

STEADY_CALLERS = 20
READ_INTERVAL_S = 0.02


def outcome(reply):
    return reply.headers.get(headers.OUTCOME.lower(), "")


def ask_at_once(context, count, ask):
    """Calls ``ask(seat, number)`` from many callers at the same moment."""
    seats = itertools.cycle(context.house.addresses)
    numbered = list(zip(seats, range(count), strict=False))
    return list(context.callers.map(lambda pair: ask(*pair), numbered))


@when("{count:d} merchants confirm a commission at the same moment")
def confirm_at_once(context, count):
    house = context.house
    ids = {
        seat: [house.new_request_id(seat) for _ in range(count)]
        for seat in house.addresses
    }

    def ask(seat, number):
        request_id = ids[seat][number]
        reply = house.request(seat, kind="confirm", request_id=request_id)
        return seat, request_id, reply

    context.confirmations = ask_at_once(context, count, ask)


@when("every refused merchant repeats the same confirmation")
def repeat_refused(context):
    refused = [
        (seat, request_id)
        for seat, request_id, reply in context.confirmations
        if outcome(reply) == "not-run"
    ]
    assert refused
    for seat, request_id in refused:
        context.house.request(seat, kind="confirm", request_id=request_id)


@then("every merchant gets an answer")
def every_answer(context):
    outcomes = Counter(outcome(r) for _, _, r in context.confirmations)
    assert set(outcomes) <= {"done", "not-run"}, outcomes
    assert outcomes["not-run"] > 0 and outcomes["done"] > 0, outcomes


@then('no confirmation that was refused as "not run" has run')
def refusals_true(context):
    executions = context.house.executions()
    for _, request_id, reply in context.confirmations:
        if outcome(reply) == "not-run":
            assert executions[request_id] == 0, request_id


@then('every confirmation that was answered "done" ran once')
def done_ran_once(context):
    executions = context.house.executions()
    for _, request_id, reply in context.confirmations:
        if outcome(reply) == "done":
            assert executions[request_id] == 1, request_id


@then("every refusal says when to come back")
def says_when(context):
    for _, _, reply in context.confirmations:
        if outcome(reply) == "not-run":
            after_ms = reply.headers[headers.RETRY_AFTER_MS.lower()]
            assert int(after_ms) > 0


@when("{count:d} merchants read a status at the same moment")
def read_at_once(context, count):
    context.reads = ask_at_once(
        context, count, lambda seat, _: context.house.request(seat)
    )


@then("some statuses were read")
def some_read(context):
    assert "done" in {outcome(reply) for reply in context.reads}


@when("merchants keep reading statuses")
def keep_reading(context):
    context.stop_reading = threading.Event()
    context.reading = [
        context.callers.submit(read_until_stopped, context, seat)
        for seat in itertools.islice(
            itertools.cycle(context.house.addresses), STEADY_CALLERS
        )
    ]
    context.resources.callback(context.stop_reading.set)


def read_until_stopped(context, seat):
    """Reads statuses as a caller does that caches look-ups; counts outcomes."""
    counts = Counter()
    cached = CachedLookup(context.house, seat)
    while not context.stop_reading.wait(READ_INTERVAL_S):
        try:
            reply = context.house.request(cached.host())
            counts[outcome(reply)] += 1
        except OSError as error:
            cause = getattr(error, "reason", error)
            is_refused = isinstance(cause, ConnectionRefusedError)
            counts["refused-connection" if is_refused else "cut"] += 1
            cached.forget()
    return counts


class CachedLookup:
    """A caller's look-up, asked again when its time to live is over."""

    def __init__(self, house, seat):
        self.house = house
        self.seats = itertools.cycle([seat, *house.addresses])
        self.forget()

    def forget(self):
        self.valid_until = 0.0

    def host(self):
        if time.monotonic() >= self.valid_until:
            self._ask()
        return self.name

    def _ask(self):
        for seat in itertools.islice(self.seats, len(self.house.addresses) + 1):
            with contextlib.suppress(OSError):
                found = self.house.look_up(seat)
                self.name = found["hosts"][0]["host"]
                self.valid_until = time.monotonic() + found["ttl_ms"] / 1000
                return
        raise AssertionError("no entry host answers look-ups")


@when("the merchants stop")
@then("the merchants stop")
def stop_reading(context):
    context.stop_reading.set()
    context.read_counts = sum(
        (future.result() for future in context.reading), Counter()
    )
    assert context.read_counts["done"] > 0


@then("no status that was being read was cut off")
def none_cut(context):
    assert context.read_counts["cut"] == 0, context.read_counts


@then("no region had more than {cap:d} in flight")
def within_cap(context, cap):
    regions = context.house.report()["regions"]
    most = {name: region["most"] for name, region in regions.items()}
    assert max(most.values()) > 0
    assert all(weight <= cap for weight in most.values()), most
