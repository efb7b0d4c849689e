"""Steps that start a cluster and inject failures."""

import signal
import time

from behave import given, when
from sardinewheel_testing.processes import wait_until

MANY_SLOTS = 20


@given("a cluster with targets that need {seconds:g} seconds")
def start_cluster(context, seconds):
    context.cluster.start(service_time_s=seconds)


@given(
    "a cluster with caps of {cap:d} and targets that need {seconds:g} seconds"
)
def start_capped_cluster(context, cap, seconds):
    context.cluster.start(cap=cap, slots=MANY_SLOTS, service_time_s=seconds)


@when('the process of "{seat}" is killed')
def kill(context, seat):
    context.cluster.hosts[seat].kill()


@when('the process of "{seat}" receives SIGTERM')
def send_sigterm(context, seat):
    context.cluster.hosts[seat].signal(signal.SIGTERM)


@when('the process of "{seat}" exits')
def has_exited(context, seat):
    process = context.cluster.hosts[seat].popen
    assert process.wait(timeout=20) == 0


@when('the process of "{seat}" is frozen')
def freeze(context, seat):
    context.cluster.hosts[seat].signal(signal.SIGSTOP)


@when('the process of "{seat}" wakes')
def wake(context, seat):
    context.cluster.hosts[seat].signal(signal.SIGCONT)
    context.cluster.wait_for_host(seat)


@when('the process of "{seat}" is frozen for {seconds:g} seconds')
def freeze_for(context, seat, seconds):
    freeze(context, seat)
    time.sleep(seconds)
    wake(context, seat)


@when('a new process is started for the seat "{seat}"')
def start_replacement(context, seat):
    context.cluster.start_host(seat)
    context.cluster.wait_for_host(seat)


@when('"{seat}" no longer receives heartbeats from "{other}"')
def has_no_heartbeats(context, seat, other):
    def is_silent():
        hosts = context.cluster.status(seat).media["hosts"]
        return other not in {host["name"] for host in hosts}

    wait_until(is_silent)


@when("the platform becomes unavailable")
def platform_unavailable(context):
    context.cluster.set_platform(mode="down")


@when("{seconds:d} seconds pass")
def seconds_pass(context, seconds):
    time.sleep(seconds)
