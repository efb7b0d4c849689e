"""Steps in which targets are drained."""

from behave import then, when
from sardinewheel_core.change import StartDrain
from sardinewheel_core.intent import Drain, Subject
from sardinewheel_testing.processes import http

WATCHED_S = 1.0


def execution_count(context, target):
    address = context.cluster.targets[target]
    return sum(http("GET", address, "/executions").media.values())


@when('the target "{target}" announces that it is leaving')
def announce_leaving(context, target):
    context.cluster.set_target(target, draining=True)


@when('an operator drains the target "{target}"')
def drain_target(context, target):
    drain = StartDrain(Drain(Subject.TARGET, target))
    response = context.cluster.change("guayaquil-1", [drain])
    assert response.media["state"] == "accepted", response


@then('the target "{target}" receives no new requests')
def no_new_requests(context, target):
    before = execution_count(context, target)
    context.reading[0].cancel()
    context.execute_steps("When 2 seconds pass")
    assert execution_count(context, target) == before
