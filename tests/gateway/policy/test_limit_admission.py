"""Requests to a target that names a limit stay bounded over all hosts."""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_gateway.policy.announcements import Limit
from sardinewheel_gateway.policy.limit_admission import (
    BURST_REQUESTS,
    BURST_S,
    MAX_WAIT_S,
    MIN_RATE_PER_S,
    LimitAdmission,
)

WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
STEP_S = 0.05
SILENCE_S = 3.5
HEARTBEAT_DELAY_S = 0.5
REGION_COUNT = 3


class SimulatedHost:
    """A host with constant demand for a limited target.

    Attributes:
        name: Name of the host.
        domain: Failure domain of the host.
        region: Region of the host.
        admission: The admission control under test.
        gone_since: Time at which it died or was paused; ``None`` if it runs.
        back_since: Time at which it last started or was resumed.
    """

    def __init__(self, name, domain, domains, now):
        self.name = name
        self.domain = domain
        self.region = domains.index(domain) % REGION_COUNT
        self.admission = LimitAdmission(name, domain, domains)
        self.gone_since = None
        self.back_since = now


class Fleet:
    """Hosts that all send whenever they are admitted.

    Hosts of a domain know of a start after ``HEARTBEAT_DELAY_S`` and of a death
    after ``SILENCE_S``.

    Attributes:
        limit: Limit that the target names.
        sent: Times of the requests.
    """

    def __init__(self, *, domains, hosts, limit_per_s, seed=1):
        self.rng = random.Random(seed)
        self.limit = Limit(limit_per_s, since=0.0)
        names = [f"d{number}" for number in range(domains)]
        self.hosts = [
            SimulatedHost(f"h{n}", names[n % domains], names, -10.0)
            for n in range(hosts)
        ]
        self.by_name = {host.name: host for host in self.hosts}
        self.region_hosts = {}
        for host in self.hosts:
            self.region_hosts.setdefault(host.region, []).append(host)
        self.now = 0.0
        self.sent = []

    def run(self, seconds):
        """Lets all running hosts send for some time."""
        end = self.now + seconds
        while self.now < end:
            self.rng.shuffle(self.hosts)
            for host in self.hosts:
                if host.gone_since is None:
                    self.request(host)
            self.now += STEP_S

    def connect(self):
        """Lets all hosts know each other, long before the limit."""
        for host in self.hosts:
            host.admission.set_hosts(self._known(host), now=-60.0)

    def run_with_demand(self, seconds, rate_per_s):
        """Lets callers send at a rate, each to a random host.

        Returns:
            The number of requests of callers.
        """
        end = self.now + seconds
        count = 0
        while self.now < end:
            self.request(self.rng.choice(self.hosts))
            self.now += self.rng.expovariate(rate_per_s)
            count += 1
        return count

    def stop(self, host):
        """Kills or pauses a host."""
        host.gone_since = self.now

    def resume(self, host):
        """Lets a paused host go on with its state."""
        host.gone_since = None
        host.back_since = self.now

    def restart(self, host):
        """Starts a host anew."""
        admission = host.admission
        host.admission = LimitAdmission(
            host.name, host.domain, admission.domains
        )
        self.resume(host)

    def request(self, host):
        """Sends a request from a host if it gets a permit."""
        admission = host.admission
        admission.set_hosts(self._known(host), now=self.now)
        if admission.wait_s("t0", self.limit, self.now, is_urgent=True):
            return
        for name in admission.holders("t0"):
            if name != host.name and admission.ask_wait_s(
                name, "t0", self.now, is_urgent=True
            ):
                continue
            wait_s = self._ask(name)
            if wait_s == 0.0:
                self.sent.append(self.now)
                return
            admission.record_refusal(
                name, "t0", is_urgent=True, wait_s=wait_s, now=self.now
            )

    def _ask(self, name):
        """Takes a permit from a holder; returns the wait without one."""
        holder = self.by_name[name]
        if holder.gone_since is not None:
            return MAX_WAIT_S
        holder.admission.set_hosts(self._known(holder), now=self.now)
        return holder.admission.take("t0", self.limit, self.now, is_urgent=True)

    def _known(self, observer):
        """Returns the hosts of its region that a host counts as live."""
        hosts = {}
        for host in self.region_hosts[observer.region]:
            if host is observer or self._is_known(host, observer):
                hosts.setdefault(host.domain, []).append(host.name)
        return hosts

    def _is_known(self, host, observer):
        if host.gone_since is not None:
            return self.now - host.gone_since < SILENCE_S
        newest = max(host.back_since, observer.back_since)
        return self.now - newest > HEARTBEAT_DELAY_S

    def most_in_window(self):
        """Returns the largest number of requests in a window."""
        return max(
            sum(start <= at < start + WINDOW_S for at in self.sent)
            for start in self.sent
        )

    @property
    def allowed(self):
        return EXCESS * self.limit.per_s * WINDOW_S + SLACK


@pytest.mark.parametrize(
    ("domains", "hosts", "limit_per_s"),
    [
        *itertools.product([1], [1], [0.0, 0.3, 1.0, 2.0, 2.7, 8.0, 40.0]),
        *itertools.product([6], [11], [0.0, 0.3, 1.0, 2.0, 2.7, 8.0, 40.0]),
        *itertools.product([9], [195], [0.0, 2.7]),
    ],
)
def test_all_hosts_together_keep_the_limit(domains, hosts, limit_per_s):
    fleet = Fleet(domains=domains, hosts=hosts, limit_per_s=limit_per_s)
    fleet.run(30.0)
    assert fleet.most_in_window() <= fleet.allowed
    rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
    burst = BURST_S * rate_per_s + BURST_REQUESTS
    assert len(fleet.sent) <= 30.0 * rate_per_s + burst


@pytest.mark.parametrize("limit_per_s", [1.0, 2.7, 8.0])
def test_the_limit_is_used_while_all_domains_have_requests(limit_per_s):
    fleet = Fleet(domains=6, hosts=11, limit_per_s=limit_per_s)
    fleet.run(60.0)
    assert len(fleet.sent) >= 0.9 * 60.0 * limit_per_s


@pytest.mark.parametrize(("domains", "hosts"), [(6, 11), (9, 195)])
def test_a_limit_above_the_demand_turns_few_requests_away(domains, hosts):
    fleet = Fleet(domains=domains, hosts=hosts, limit_per_s=12.0)
    fleet.connect()
    requests = fleet.run_with_demand(60.0, rate_per_s=8.0)
    assert len(fleet.sent) >= 0.9 * requests


@pytest.mark.parametrize(("domains", "hosts"), [(6, 11), (9, 195)])
def test_a_limit_below_the_demand_is_used_by_any_host(domains, hosts):
    fleet = Fleet(domains=domains, hosts=hosts, limit_per_s=3.0)
    fleet.connect()
    fleet.run_with_demand(60.0, rate_per_s=8.0)
    assert len(fleet.sent) >= 0.8 * 60.0 * 3.0
    assert fleet.most_in_window() <= fleet.allowed


def test_hosts_that_start_at_once_keep_the_limit():
    fleet = Fleet(domains=6, hosts=60, limit_per_s=8.0)
    for host in fleet.hosts:
        fleet.restart(host)
    fleet.run(20.0)
    assert fleet.most_in_window() <= fleet.allowed


def test_another_host_of_the_domain_replaces_a_holder_that_died():
    fleet = Fleet(domains=1, hosts=3, limit_per_s=4.0)
    fleet.run(5.0)
    holder = next(x for x in fleet.hosts if x.admission.buckets)
    fleet.stop(holder)
    before = len(fleet.sent)
    fleet.run(20.0)
    assert len(fleet.sent) - before >= 0.6 * 20.0 * 4.0
    assert fleet.most_in_window() <= fleet.allowed


def test_an_unused_share_does_not_accumulate():
    fleet = Fleet(domains=6, hosts=11, limit_per_s=4.0)
    fleet.now = 600.0
    fleet.run(WINDOW_S)
    assert len(fleet.sent) <= fleet.allowed


def test_a_leaving_host_sends_nothing_to_limited_targets():
    admission = LimitAdmission("h0", "d0", ("d0",))
    admission.set_hosts({"d0": []}, now=0.0)
    limit = Limit(100.0, since=0.0)
    assert admission.holders("t0") == []
    assert admission.take("t0", limit, 60.0, is_urgent=True) == MAX_WAIT_S
    wait_s = admission.wait_s("t0", limit, 60.0, is_urgent=True)
    assert wait_s == MAX_WAIT_S


def test_the_last_permits_of_a_burst_are_for_urgent_requests():
    admission = LimitAdmission("h0", "d0", ("d0",))
    admission.set_hosts({"d0": ["h0"]}, now=0.0)
    limit = Limit(4.0, since=10.0)

    def take(*, is_urgent):
        return admission.take("t0", limit, 10.0, is_urgent=is_urgent) == 0.0

    normal = [take(is_urgent=False) for _ in range(20)].count(True)
    urgent = [take(is_urgent=True) for _ in range(20)].count(True)
    assert normal + urgent == BURST_S * 4.0 + BURST_REQUESTS
    assert urgent >= 4


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_the_limit_holds_while_hosts_die_pause_and_return(data):
    limit_per_s = data.draw(st.sampled_from([0.5, 2.0, 5.0, 20.0]))
    fleet = Fleet(
        domains=data.draw(st.integers(1, 6)),
        hosts=data.draw(st.integers(1, 12)),
        limit_per_s=limit_per_s,
    )
    for _ in range(data.draw(st.integers(1, 8))):
        host = data.draw(st.sampled_from(sorted_hosts(fleet)))
        if host.gone_since is None:
            fleet.stop(host)
        elif data.draw(st.booleans()):
            fleet.resume(host)
        else:
            fleet.restart(host)
        fleet.run(data.draw(st.sampled_from([0.2, 1.0, 4.0])))
    fleet.run(4.0)
    assert not fleet.sent or fleet.most_in_window() <= fleet.allowed


def sorted_hosts(fleet):
    return sorted(fleet.hosts, key=lambda host: host.name)
