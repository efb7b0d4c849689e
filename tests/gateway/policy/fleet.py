"""A fleet of hosts that run the membership protocol in simulated time."""

import heapq
import itertools
import random

import cbor2
from sardinewheel_gateway.policy.hosts import HostTable
from sardinewheel_gateway.policy.membership import MembershipProtocol

from tests.gateway.policy.test_hosts import state

REGIONS = ("north", "east", "south")
DOMAINS_PER_REGION = 3
SAME_REGION_DELAY_S = 0.001
CROSS_REGION_DELAY_S = 0.035


class Fleet:
    """Hosts that exchange datagrams, some of which are lost.

    Attributes:
        now: Simulated time in seconds.
        hosts: Running hosts by address.
        sent_bytes: Bytes sent by each address.
        sent_datagrams: Number of datagrams sent by each address.
        cut_regions: Regions cut off from all others.
    """

    def __init__(self, *, seed, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.hosts = {}
        self.regions = {}
        self.sent_bytes = {}
        self.sent_datagrams = {}
        self.cut_regions = set()
        self.events = []
        self.order = itertools.count()
        self.seeds = []

    def start_all(self, count, *, within_s=0.3, seed_count=3):
        """Starts hosts at random times; the first of each region are seeds."""
        names = [f"h{number:03}" for number in range(count)]
        self.seeds = [f"{name}:81" for name in names[:seed_count]]
        for number, name in enumerate(names):
            region = REGIONS[number % len(REGIONS)]
            at = self.rng.uniform(0.0, within_s)
            self.schedule(at, self.start, name, region)

    def start(self, name, region="north", incarnation=1):
        """Starts a host; returns its protocol."""
        own = state(
            name,
            region=region,
            domain=f"{region}-{self.rng.randrange(DOMAINS_PER_REGION)}",
            front=f"10.{REGIONS.index(region)}.200.{name}:8144",
            incarnation=1_700_000_000_000 + incarnation,
            sequence=0,
        )
        protocol = MembershipProtocol(
            HostTable(own),
            self.seeds,
            random.Random(self.rng.random()),
        )
        self.hosts[own.gossip] = protocol
        self.regions[own.gossip] = region
        self._tick(own.gossip, protocol)
        return protocol

    def stop(self, address):
        """Ends a host without a message."""
        return self.hosts.pop(address)

    def schedule(self, at, function, *args):
        heapq.heappush(self.events, (at, next(self.order), function, args))

    def run_until(self, end):
        """Runs all events up to a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = end

    def send(self, sender, datagrams):
        """Sends datagrams; each is lost with probability ``loss``."""
        for address, data in datagrams:
            assert len(data) <= 1400
            self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(data)
            self.sent_datagrams[sender] = self.sent_datagrams.get(sender, 0) + 1
            if self.rng.random() < self.loss or self._is_cut(sender, address):
                continue
            same = self.regions[sender] == self.regions.get(address)
            delay_s = SAME_REGION_DELAY_S if same else CROSS_REGION_DELAY_S
            self.schedule(self.now + delay_s, self._deliver, address, data)

    def unknown(self):
        """Returns the number of pairs of which one does not know the other."""
        return sum(
            len(self.hosts) - len(self.live_peers(protocol)) - 1
            for protocol in self.hosts.values()
        )

    def live_peers(self, protocol):
        """Returns the names of the other hosts that a host counts as live."""
        live = protocol.host_table.live(now=self.now)[1:]
        running = {p.host_table.own.name for p in self.hosts.values()}
        return {host.name for host in live} & running

    def _is_cut(self, sender, address):
        regions = {self.regions[sender], self.regions.get(address)}
        return len(regions) > 1 and bool(regions & self.cut_regions)

    def _deliver(self, address, data):
        protocol = self.hosts.get(address)
        if protocol is not None:
            replies = protocol.handle(cbor2.loads(data), now=self.now)
            self.send(address, replies)

    def _tick(self, address, protocol):
        if self.hosts.get(address) is not protocol:
            return
        self.send(address, protocol.tick(now=self.now))
        next_at = self.now + protocol.interval_s
        self.schedule(next_at, self._tick, address, protocol)
