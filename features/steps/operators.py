"""Steps in which operators change the configuration."""

from behave import then, when
from sardinewheel_core.change import SetCap
from sardinewheel_testing.processes import wait_until


def cap_in_force(context, seat, region):
    intent = context.cluster.status(seat).media["intent"]
    return dict(intent["regions"])[region]["cap"]


@when('two operators set the cap of "{region}" concurrently')
def two_operators(context, region):
    proposals = {"quito-1": ("ana", 11), "guayaquil-1": ("luis", 12)}
    futures = {
        author: context.callers.submit(
            context.cluster.change, seat, [SetCap(region, cap)], author=author
        )
        for seat, (author, cap) in proposals.items()
    }
    context.caps = {author: cap for author, cap in proposals.values()}
    context.region = region
    context.results = {a: f.result().media for a, f in futures.items()}


@then("both operators receive a result that names the winner of a conflict")
def operators_have_results(context):
    accepted = [
        a for a, r in context.results.items() if r["state"] == "accepted"
    ]
    assert accepted, context.results
    for author, result in context.results.items():
        if author not in accepted:
            assert result["state"] == "conflict", result
            assert result["winner"]["author"] == accepted[0], result


@then("the cap that was accepted last is in force on every entry host")
def last_in_force(context):
    accepted = {
        result["version"]: author
        for author, result in context.results.items()
        if result["state"] == "accepted"
    }
    cap = context.caps[accepted[max(accepted)]]
    wait_for_cap(context, context.region, cap)


@when("the platform drops its next response to a write")
def drop_response(context):
    context.cluster.set_platform(mode="lose-answers", count=1)


@when('an operator sets the cap of "{region}" to {cap:d}')
def operator_sets_cap(context, region, cap):
    reply = context.cluster.change("quito-1", [SetCap(region, cap)])
    context.reply = reply.media
    if context.reply["state"] == "accepted":
        wait_for_cap(context, region, cap)


@then("the change of the operator is reported as accepted")
def was_accepted(context):
    assert context.reply["state"] == "accepted", context.reply


@then('the cap of "{region}" is {cap:d} on every entry host')
def cap_everywhere(context, region, cap):
    wait_for_cap(context, region, cap)


def wait_for_cap(context, region, cap):
    for seat in context.cluster.addresses:
        wait_until(lambda s=seat: cap_in_force(context, s, region) == cap)


@when("every entry host is replaced, one at a time")
def replace_all(context):
    cluster = context.cluster
    for seat in cluster.addresses:
        cluster.hosts[seat].kill()
        cluster.start_host(seat)
        cluster.wait_for_host(seat)
        wait_until(lambda s=seat: cluster.status(s).media["ready"])
