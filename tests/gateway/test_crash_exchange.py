"""Hosts tell each other which requests crash targets."""

import random

import gevent
import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.crash_exchange import SYNC_TIMEOUT_S, CrashExchange
from sardinewheel_gateway.policy.crash_suspects import (
    CrashSuspects,
    Refusal,
    Run,
    TargetStart,
)

from tests.gateway.harness import wait_until
from tests.gateway.test_gossip import gossips

DIGEST = "0123456789abcdef"
OTHER = "fedcba9876543210"


class SharingHost:
    """A host that shares crashes over real datagrams."""

    def __init__(self, gossip):
        self.gossip = gossip
        self.suspects = CrashSuspects()
        self.exchange = CrashExchange(
            self.suspects, gossip, log=gossip.log, rng=random.Random(2)
        )
        self.refused = []
        self.exchange.on_refused = self.refused.append
        gossip.start()
        self.task = gevent.spawn(self.exchange.run)

    def lose(self, number, digest=DIGEST):
        """Records a loss at a target of its own."""
        now = clock.steady()
        start = TargetStart(f"t{number}", 1000)
        self.exchange.record_loss(digest, Run(start, now - 0.01, now))

    def stop(self):
        self.task.kill()
        self.gossip.stop()


@pytest.fixture
def hosts():
    created = [SharingHost(x) for x in gossips("abcdef", seed_count=2)]
    wait_until(
        lambda: all(len(x.gossip.host_table.peers) == 5 for x in created)
    )
    wait_until(lambda: all(x.exchange.is_synced for x in created))
    yield created
    for host in created:
        host.stop()


def test_losses_at_several_hosts_make_all_refuse(hosts):
    for number, host in enumerate(hosts[:3]):
        host.lose(number)
        gevent.sleep(0.05)
    wait_until(lambda: all(host.refused == [DIGEST] for host in hosts))


def test_a_run_that_ended_well_elsewhere_prevents_a_refusal(hosts):
    hosts[0].lose(0)
    gevent.sleep(0.05)
    hosts[1].lose(1)
    wait_until(lambda: hosts[3].suspects.loss_count(DIGEST) == 2)
    hosts[3].exchange.record_completion(DIGEST)
    wait_until(lambda: not any(x.suspects.loss_count(DIGEST) for x in hosts))
    hosts[0].lose(2)
    gevent.sleep(1.0)
    assert not any(host.refused for host in hosts)


def test_a_host_that_has_seen_good_runs_corrects_the_others(hosts):
    hosts[0].task.kill()
    hosts[0].lose(0)
    hosts[5].suspects.completed[DIGEST] = clock.steady() + 0.1
    hosts[0].task = gevent.spawn(hosts[0].exchange.run)
    wait_until(lambda: not hosts[0].suspects.loss_count(DIGEST))


def test_a_refusal_is_lifted_everywhere(hosts):
    for number in range(3):
        hosts[0].lose(number)
        gevent.sleep(0.05)
    wait_until(lambda: all(DIGEST in host.suspects.refused for host in hosts))
    assert hosts[2].exchange.lift(DIGEST)
    wait_until(lambda: not any(host.suspects.refused for host in hosts))
    gevent.sleep(2.5)
    assert not any(host.suspects.refused for host in hosts)
    assert not hosts[2].exchange.lift(DIGEST)


def test_a_host_that_starts_knows_what_the_others_refuse(hosts):
    now = clock.steady()
    for host in hosts[:-1]:
        for number in range(40):
            host.suspects.refuse(f"{number:016x}", Refusal(now, now, 3))
    late = hosts[-1].exchange
    late.is_synced = False
    late.started_at = clock.steady()
    late.wakeup.set()
    wait_until(lambda: late.is_synced)
    assert clock.steady() - late.started_at < SYNC_TIMEOUT_S
    wait_until(lambda: len(hosts[-1].suspects.refused) == 40)


def test_a_host_that_missed_a_refusal_learns_it_later(hosts):
    late = hosts[-1]
    late.gossip.on_crash_news = lambda _: None
    hosts[0].exchange.suspects.refuse(
        DIGEST, Refusal(clock.steady(), clock.steady(), 3)
    )
    gevent.sleep(0.5)
    late.gossip.on_crash_news = late.exchange.merge
    wait_until(lambda: DIGEST in late.suspects.refused, timeout_s=8.0)


def test_unreadable_news_change_nothing(hosts):
    host = hosts[0]
    for items in ([[0, 1, 2]], "x", [[2, DIGEST, 3, float("nan"), 1.0]]):
        message = host.gossip.host_table.own.name, items, False
        hosts[1].gossip.send_crash_news(
            message, [host.gossip.host_table.own.gossip]
        )
    wait_until(lambda: host.gossip.log.events["datagram-unreadable"] == 3)
    assert not host.suspects.refused


def test_a_host_alone_does_not_wait_long():
    (gossip,) = gossips("a", seed_count=0)
    host = SharingHost(gossip)
    wait_until(lambda: host.exchange.is_synced, timeout_s=2 * SYNC_TIMEOUT_S)
    host.stop()
