"""Steps that start a cluster and inject faults."""

import signal
import time

from behave import given, when
from sardinewheel_testing.processes import wait_until

MANY_SLOTS = 20


@given("a cluster with a service time of {seconds:g} seconds")
def start_cluster(context, seconds):
    context.cluster.start(service_time_s=seconds)


@given(
    "a cluster with region caps of {cap:d} "
    "and a service time of {seconds:g} seconds"
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
def wait_for_exit(context, seat):
    process = context.cluster.hosts[seat].popen
    assert process.wait(timeout=20) == 0


@when('the process of "{seat}" is suspended')
def suspend(context, seat):
    context.cluster.hosts[seat].signal(signal.SIGSTOP)


@when('the process of "{seat}" resumes')
def resume(context, seat):
    context.cluster.hosts[seat].signal(signal.SIGCONT)
    context.cluster.wait_for_host(seat)


@when('the process of "{seat}" is suspended for {seconds:g} seconds')
def suspend_for(context, seat, seconds):
    suspend(context, seat)
    time.sleep(seconds)
    resume(context, seat)


@when('a new process is started for the seat "{seat}"')
def start_replacement(context, seat):
    context.cluster.start_host(seat)
    context.cluster.wait_for_host(seat)


@when('"{seat}" no longer receives heartbeats from "{other}"')
def wait_for_missed_heartbeats(context, seat, other):
    def is_missing():
        hosts = context.cluster.status(seat).media["hosts"]
        return other not in {host["name"] for host in hosts}

    wait_until(is_missing)


@when("the platform becomes unavailable")
def platform_unavailable(context):
    context.cluster.set_platform(mode="down")


@when("{seconds:d} seconds pass")
def seconds_pass(context, seconds):
    time.sleep(seconds)
