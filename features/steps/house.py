"""Steps that start a house and bring failures about."""

import signal
import time

from behave import given, when
from sardinewheel_testing.processes import wait_until

MANY_SLOTS = 20


@given("a house with targets that need {seconds:g} seconds")
def start_house(context, seconds):
    context.house.start(service_time_s=seconds)


@given("a house with caps of {cap:d} and targets that need {seconds:g} seconds")
def start_capped_house(context, cap, seconds):
    context.house.start(cap=cap, slots=MANY_SLOTS, service_time_s=seconds)


@when('the process of "{seat}" is killed')
def kill(context, seat):
    context.house.hosts[seat].kill()


@when('the process of "{seat}" is told to stop')
def tell_to_stop(context, seat):
    context.house.hosts[seat].signal(signal.SIGTERM)


@when('the process of "{seat}" has ended by itself')
def has_ended(context, seat):
    process = context.house.hosts[seat].popen
    assert process.wait(timeout=20) == 0


@when('the process of "{seat}" is frozen')
def freeze(context, seat):
    context.house.hosts[seat].signal(signal.SIGSTOP)


@when('the process of "{seat}" wakes')
def wake(context, seat):
    context.house.hosts[seat].signal(signal.SIGCONT)
    context.house.wait_for_host(seat)


@when('the process of "{seat}" is frozen for {seconds:g} seconds')
def freeze_for(context, seat, seconds):
    freeze(context, seat)
    time.sleep(seconds)
    wake(context, seat)


@when('a new process takes the seat "{seat}"')
def replace(context, seat):
    context.house.start_host(seat)
    context.house.wait_for_host(seat)


@when('"{seat}" no longer hears from "{other}"')
def no_longer_hears(context, seat, other):
    def is_silent():
        hosts = context.house.status(seat).media["hosts"]
        return other not in {host["name"] for host in hosts}

    wait_until(is_silent)


@when("the platform goes away")
def platform_away(context):
    context.house.set_platform(mode="down")


@when("{seconds:d} seconds pass")
def seconds_pass(context, seconds):
    time.sleep(seconds)
