"""Hosts that keep the limit of an account, with a network made of delays."""

import heapq
import random
from bisect import bisect_right
from collections import deque
from itertools import count

from sardinewheel_gateway.policy.account_holders import HolderTable
from sardinewheel_gateway.policy.account_limits import (
    MAX_WAIT_S,
    AccountLimits,
)
from sardinewheel_gateway.policy.account_parts import (
    AccountParts,
    WindowBound,
)
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.hosts import (
    CROSS_REGION_SILENCE_S,
    HEARTBEAT_INTERVAL_S,
    SAME_REGION_SILENCE_S,
)

from tests.gateway.policy.test_hosts import state

DOMAINS = ("d0", "d1", "d2", "d3", "d4", "d5")
REGIONS = {domain: f"r{n // 2}" for n, domain in enumerate(DOMAINS)}
NEAR_S = 0.0005
FAR_S = 0.035
TICK_S = 0.25
ASK_AGAIN_S = 0.05
WINDOW = WindowBound()


class FleetHost:
    """A host of the fleet.

    Attributes:
        state: What it tells the others.
        heard_at: Time at which it last heard each host.
        waiting: Deadlines of the requests that wait for a token.
        is_down: Whether its process has ended.
        is_paused: Whether its process does not run.
    """

    def __init__(self, name, domain, account, now):
        self.state = state(
            name, domain=domain, region=REGIONS[domain], is_ready=True
        )
        self.is_down = self.is_paused = False
        self.account = account
        self.start(now)

    def start(self, now):
        """Starts its process, which has no memory."""
        holders = HolderTable(self.state.name, self.state.domain, DOMAINS)
        parts = AccountParts(holders, WINDOW)
        self.limits = AccountLimits(parts, REGIONS, random.Random(1))
        self.heard_at = {}
        self.waiting = deque()
        self.is_down = False
        self.started_at = now

    @property
    def runs(self):
        return not self.is_down and not self.is_paused


class Fleet:
    """Hosts in six failure domains and three regions.

    Attributes:
        ran_at: Times at which requests ran.
        asked: Number of requests of callers since ``reset``.
        refused: Number of them that were refused.
        messages: Number of datagrams.
        cuts: Pairs of sets of hosts that can't reach each other.
    """

    def __init__(self, account, *, per_domain=2, loss=0.01, seed=1):
        self.rng = random.Random(seed)
        self.account = account
        self.loss = loss
        self.now = 0.0
        self.events = []
        self.numbers = count()
        self.ran_at = []
        self.cuts = []
        self.reset()
        self.hosts = {
            f"{domain}-{n}": FleetHost(f"{domain}-{n}", domain, account, 0.0)
            for domain in DOMAINS
            for n in range(per_domain)
        }
        for name in self.hosts:
            phase = self.rng.random()
            self.at(phase * TICK_S, self.tick, name)
            self.at(phase * HEARTBEAT_INTERVAL_S, self.beat, name)
        self.run(8.0)

    def reset(self):
        """Counts anew."""
        self.asked = self.refused = self.messages = 0

    def names(self, *, region="", domain=""):
        """Returns the hosts of a region or failure domain."""
        return [
            name
            for name, host in self.hosts.items()
            if region in ("", host.state.region)
            and domain in ("", host.state.domain)
        ]

    def holder(self, domain):
        """Returns the holder of a domain's part by the view of its hosts."""
        host = self.hosts[f"{domain}-0"]
        return host.limits.holders.holder(self.account.name, domain)

    def at(self, delay_s, handler, *arguments):
        """Calls a handler after some time."""
        due = self.now + delay_s
        heapq.heappush(
            self.events, (due, next(self.numbers), handler, arguments)
        )

    def run(self, seconds):
        """Lets time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, handler, arguments = heapq.heappop(self.events)
            handler(*arguments)
        self.now = end

    def load(self, seconds, rate_per_s, names):
        """Lets callers send to some hosts, each to a random one."""
        end = self.now + seconds
        while True:
            gap_s = self.rng.expovariate(rate_per_s)
            if self.now + gap_s >= end:
                break
            self.run(gap_s)
            self.arrive(self.rng.choice(names))
        self.run(end - self.now)

    def arrive(self, name):
        """Handles a request of a caller at a host."""
        host = self.hosts[name]
        self.asked += 1
        if not host.runs:
            self.refused += 1
            return
        limits, account, now = host.limits, host.account, self.now
        if limits.arrive(account, now=now) is not None:
            self.ran_at.append(now)
        elif limits.may_wait(account, now=now):
            limits.demand(account).waiting += 1
            host.waiting.append(now + MAX_WAIT_S)
            self.at(ASK_AGAIN_S, self.ask_again, name)
        else:
            self.refused += 1
            limits.record_refusal(account, now=now)
        self.send_asks(host)

    def ask_again(self, name):
        """Serves waiting requests; refuses those that waited too long."""
        host = self.hosts[name]
        self.serve(host)
        while host.waiting and host.waiting[0] <= self.now + 1e-9:
            host.waiting.popleft()
            host.limits.demand(host.account).waiting -= 1
            self.refused += 1
        if host.waiting:
            self.send_asks(host)
            self.at(ASK_AGAIN_S, self.ask_again, name)

    def serve(self, host):
        """Lets waiting requests run if there are tokens."""
        limits, account = host.limits, host.account
        while host.runs and host.waiting:
            if limits.take(account, now=self.now) is None:
                return
            host.waiting.popleft()
            limits.demand(account).waiting -= 1
            self.ran_at.append(self.now)

    def send_asks(self, host):
        """Sends a host's questions."""
        if not host.runs:
            return
        for ask in host.limits.asks(host.account, now=self.now):
            self.send(host, ask.holder, self.handle_ask, ask)

    def send(self, sender, receiver, handler, content):
        """Sends a datagram, which may be lost."""
        self.messages += 1
        other = self.hosts[receiver]
        if self.is_cut(sender, other) or self.rng.random() < self.loss:
            return
        is_near = sender.state.region == other.state.region
        delay_s = NEAR_S if is_near else FAR_S
        self.at(
            delay_s * (1.0 + 0.3 * self.rng.random()),
            handler,
            receiver,
            sender.state.name,
            content,
        )

    def handle_ask(self, name, sender, ask):
        host = self.hosts[name]
        if not host.runs:
            return
        grant = host.limits.parts.take(host.account, ask.wanted, now=self.now)
        self.send(host, sender, self.handle_grant, (ask.number, grant))

    def handle_grant(self, name, _sender, answer):
        host = self.hosts[name]
        if not host.runs:
            return
        host.limits.record_grant(*answer, now=self.now)
        self.serve(host)
        if host.waiting:
            self.send_asks(host)

    def is_cut(self, one, other):
        """Returns whether two hosts can't reach each other."""
        pair = {one.state.name, other.state.name}
        return any(pair & a and pair & b for a, b in self.cuts)

    def cut(self, names):
        """Cuts some hosts off from all others."""
        rest = set(self.hosts) - set(names)
        self.cuts.append((set(names), rest))

    def beat(self, name):
        """Sends heartbeats of a host."""
        sender = self.hosts[name]
        self.at(HEARTBEAT_INTERVAL_S, self.beat, name)
        if not sender.runs:
            return
        for other in self.hosts.values():
            if other is sender or self.is_cut(sender, other):
                continue
            if other.runs and self.rng.random() >= self.loss:
                other.heard_at[name] = self.now

    def tick(self, name):
        """Updates a host's view of the others."""
        host = self.hosts[name]
        self.at(TICK_S, self.tick, name)
        if not host.runs:
            return
        live = [host.state]
        for other, heard_at in host.heard_at.items():
            seen = self.hosts[other].state
            is_near = seen.region == host.state.region
            silence_s = (
                SAME_REGION_SILENCE_S if is_near else CROSS_REGION_SILENCE_S
            )
            if self.now - heard_at < silence_s:
                live.append(seen)
        host.limits.set_hosts(live, now=self.now)

    def restart(self, name):
        """Ends a process and starts it anew at once."""
        self.hosts[name].start(self.now)

    def set_limit(self, account):
        """Applies another limit at all hosts."""
        self.account = account
        for host in self.hosts.values():
            host.account = account

    def excess(self, since=0.0, account=None):
        """Returns the most requests of a window beyond the bound."""
        account = account or self.account
        allowed = (account.rate_per_s * WINDOW.window_s + account.burst) * (
            1.0 + WINDOW.excess
        ) + WINDOW.slack
        times = sorted(at for at in self.ran_at if at >= since)
        counts = [
            bisect_right(times, at + WINDOW.window_s) - n
            for n, at in enumerate(times)
        ]
        return max(counts, default=0) - allowed


def limited(rate_per_s, burst=0.0):
    """Returns an account with a limit."""
    return Account("cafe", rate_per_s=rate_per_s, burst=burst)
