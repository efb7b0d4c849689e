"""Synthetic fleets and intents of any size, for measurements."""

import ipaddress
import random
from types import MappingProxyType

from sardinewheel_core.change import Change, SetCap
from sardinewheel_core.host import EntryHost, Identity
from sardinewheel_core.intent import (
    Block,
    Intent,
    Kind,
    Region,
    Seat,
    Service,
    Target,
)
from sardinewheel_core.messages import HostState, Phase

REGIONS = 9
DOMAINS = 36
TARGETS_PER_SITE = 4
SLOTS = 5
CAP = 10_000


def domain_name(index: int) -> str:
    """Returns the name of a failure domain."""
    return f"domain-{index % DOMAINS}"


def make_blocks(count: int) -> list[Block]:
    """Returns adjacent blocks of 64 addresses."""
    return [
        Block(
            str(ipaddress.IPv4Network(((index << 6) + (10 << 24), 26))),
            f"region-{index % REGIONS}",
        )
        for index in range(count)
    ]


def make_intent(*, hosts: int, sites: int) -> Intent:
    """Returns an intent with one service per site, each in one domain."""
    regions = {
        f"region-{r}": Region(
            f"region-{r}",
            CAP,
            tuple(domain_name(d) for d in range(r, DOMAINS, REGIONS)),
        )
        for r in range(REGIONS)
    }
    seats = {
        f"host-{i}": Seat(f"host-{i}", domain_name(i)) for i in range(hosts)
    }
    services = {f"site-{i}": make_service(i) for i in range(sites)}
    return Intent.empty()._replace(
        regions=MappingProxyType(regions),
        seats=MappingProxyType(seats),
        services=MappingProxyType(services),
    )


def make_service(index: int) -> Service:
    """Returns a service with its kinds and targets."""
    targets = {
        f"target-{index}-{t}": Target(
            f"target-{index}-{t}",
            domain_name(index),
            f"127.0.0.1:{1000 + t}",
            SLOTS,
        )
        for t in range(TARGETS_PER_SITE)
    }
    kinds = {
        "confirm": Kind("confirm", 0, reserved=0.2, repeatable=False),
        "status": Kind("status", 1),
    }
    return Service(f"site-{index}", kinds, targets)


def make_state(index: int, *, services: int, beat: int = 1) -> HostState:
    """Returns the state of a ready host with free slots for some services."""
    free_slots = tuple((f"site-{s}", 3) for s in range(services))
    return HostState(
        name=f"host-{index}",
        incarnation=1,
        beat=beat,
        domain=domain_name(index),
        http_address=f"127.0.0.1:{10_000 + index}",
        peer_address=f"127.0.0.1:{20_000 + index}",
        phase=Phase.READY,
        version=0,
        epoch=1,
        rooms=free_slots,
    )


def make_host(*, hosts: int, sites: int) -> EntryHost:
    """Returns a ready entry host that has received the states of a fleet."""
    identity = Identity(
        "host-0", 1, domain_name(0), "127.0.0.1:10000", "127.0.0.1:20000"
    )
    host = EntryHost(identity=identity, rng=random.Random(1), now=0.0)
    host.configuration.intent = make_intent(hosts=hosts, sites=sites)
    states = tuple(make_state(i, services=0) for i in range(1, hosts))
    host.membership.merge_states(0.0, states)
    host.membership.own = host.membership.own._replace(phase=Phase.READY)
    return host


def make_change(version: int) -> Change:
    """Returns a typical change, which sets the cap of a region."""
    operation = SetCap(f"region-{version % REGIONS}", CAP + version)
    return Change(version, f"change-{version}", "operator", (operation,))
