"""Steps with one merchant and one confirmation."""

from behave import then, when
from sardinewheel_entry import headers
from sardinewheel_testing.processes import wait_until


def outcome(reply):
    return reply.headers.get(headers.OUTCOME.lower(), "")


@when('a merchant confirms a commission through "{seat}"')
def confirm(context, seat):
    context.request_id = context.cluster.new_request_id(seat)
    context.answers = [send(context, seat)]


@when('a merchant confirms a commission through "{seat}" without waiting')
def confirm_without_waiting(context, seat):
    states = context.cluster.status("quito-2").media["hosts"]
    state = next(s for s in states if s["name"] == seat)
    ticket = f"{seat}~{state['incarnation']:x}~{state['epoch']}"
    context.request_id = f"{ticket}~frozen-1"
    context.pending = context.callers.submit(send, context, seat)
    context.answers = []


@when('a merchant\'s confirmation is running, sent through "{seat}"')
def confirm_running(context, seat):
    context.request_id = context.cluster.new_request_id(seat)
    context.callers.submit(send, context, seat)
    wait_until(lambda: context.cluster.executions()[context.request_id])
    context.answers = []


@when('the merchant repeats the confirmation through "{seat}"')
def repeat(context, seat):
    context.answers.append(send(context, seat))


def send(context, seat):
    return context.cluster.request(
        seat, kind="confirm", request_id=context.request_id
    )


@then('both answers are "{expected}"')
def both_answers(context, expected):
    assert [outcome(a) for a in context.answers] == [expected] * 2


@then('the answer to the repetition is "{expected}"')
def repeated_answer(context, expected):
    assert outcome(context.answers[-1]) == expected, context.answers


@then("the confirmation ran once")
def ran_once(context):
    assert context.cluster.executions()[context.request_id] == 1


@then("the confirmation ran at most once")
def ran_at_most_once(context):
    context.pending.result()
    assert context.cluster.executions()[context.request_id] <= 1
