"""Steps in which a merchant confirms one commission."""

from behave import then, when
from sardinewheel_entry import headers
from sardinewheel_testing.processes import wait_until


def outcome(response):
    return response.headers.get(headers.OUTCOME.lower(), "")


@when('a merchant confirms a commission through "{seat}"')
def confirm(context, seat):
    context.request_id = context.cluster.new_request_id(seat)
    context.replies = [send(context, seat)]


@when('a merchant confirms a commission through "{seat}" without waiting')
def confirm_without_waiting(context, seat):
    states = context.cluster.status("quito-2").media["hosts"]
    state = next(s for s in states if s["name"] == seat)
    ticket = f"{seat}~{state['incarnation']:x}~{state['epoch']}"
    context.request_id = f"{ticket}~suspended-1"
    context.pending = context.callers.submit(send, context, seat)
    context.replies = []


@when('a merchant\'s confirmation is running, sent through "{seat}"')
def confirm_running(context, seat):
    context.request_id = context.cluster.new_request_id(seat)
    context.callers.submit(send, context, seat)
    wait_until(lambda: context.cluster.executions()[context.request_id])
    context.replies = []


@when('the merchant retries the confirmation through "{seat}"')
def retry_confirmation(context, seat):
    context.replies.append(send(context, seat))


def send(context, seat):
    return context.cluster.request(
        seat, kind="confirm", request_id=context.request_id
    )


@then('both outcomes are "{expected}"')
def both_outcomes(context, expected):
    assert [outcome(r) for r in context.replies] == [expected] * 2


@then('the outcome of the retry is "{expected}"')
def retry_outcome(context, expected):
    assert outcome(context.replies[-1]) == expected, context.replies


@then("the confirmation ran once")
def ran_once(context):
    assert context.cluster.executions()[context.request_id] == 1


@then("the confirmation ran at most once")
def ran_at_most_once(context):
    context.pending.result()
    assert context.cluster.executions()[context.request_id] <= 1
