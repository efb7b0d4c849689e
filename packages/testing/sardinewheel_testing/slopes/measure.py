"""Cost measurements, one function per slope."""

import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_core.blocks import BlockTable
from sardinewheel_core.change import apply_change
from sardinewheel_core.effects import MessageArrived, Send, Ticked
from sardinewheel_core.messages import Heartbeat
from sardinewheel_entry.peers import decode, encode

from sardinewheel_testing.slopes import fleet
from sardinewheel_testing.slopes.fit import Line, Sample, fit

MIN_MEASURED_S = 0.1
MICROSECONDS = 1e6


class Slope(NamedTuple):
    """A fitted slope.

    Attributes:
        name: Name of the measurement.
        unit: Unit of the cost.
        per: Item that the size counts.
        samples: Measured costs by size.
        line: Line fitted to the samples.
    """

    name: str
    unit: str
    per: str
    samples: tuple[Sample, ...]
    line: Line


def measure_slope(
    name: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    """Measures at several sizes and fits a line."""
    samples = [Sample(size, measure(size)) for size in sizes]
    return Slope(name, unit, per, tuple(samples), fit(samples))


def seconds_per_call(call: Callable[[], object]) -> float:
    """Returns the processor time of one call, in seconds.

    Repeats the call until the total reaches ``MIN_MEASURED_S``.
    """
    calls = 1
    while True:
        started_at = time.process_time()
        for _ in range(calls):
            call()
        cpu_s = time.process_time() - started_at
        if cpu_s >= MIN_MEASURED_S:
            return cpu_s / calls
        calls *= 2


def retained_bytes(make: Callable[[], object]) -> float:
    """Returns the memory held by the result of a call, in bytes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def block_bytes(count: int) -> float:
    """Returns the bytes of a block table."""
    blocks = fleet.make_blocks(count)
    table = BlockTable.from_blocks(blocks)
    arrays = (table.v4, table.v6)
    return sum(
        sys.getsizeof(a.starts) + sys.getsizeof(a.regions) for a in arrays
    )


def block_intent_bytes(count: int) -> float:
    """Returns the bytes of the blocks of an intent."""
    return retained_bytes(
        lambda: {b.prefix: b for b in fleet.make_blocks(count)}
    )


def block_lookup_us(count: int) -> float:
    """Returns the microseconds to find the region of an address."""
    table = BlockTable.from_blocks(fleet.make_blocks(count))
    return MICROSECONDS * seconds_per_call(lambda: table.region_of("10.0.5.7"))


def lookup_us(hosts: int) -> float:
    """Returns the microseconds of a look-up, by the size of the fleet."""
    host = fleet.make_host(hosts=hosts, sites=9)
    rng = random.Random(1)
    services = [f"site-{i}" for i in range(9)]
    return MICROSECONDS * seconds_per_call(
        lambda: host.look_up(1.0, service=rng.choice(services), block="")
    )


def lookup_index_us(hosts: int) -> float:
    """Returns the microseconds of a look-up that rebuilds the host ranks.

    Ranks are cached by region and service.
    """
    host = fleet.make_host(hosts=hosts, sites=9)
    clock = [1.0]

    def call():
        clock[0] += 1e-7
        host._lookup_index.built_at = -10.0
        host.look_up(clock[0], service="site-1", block="")

    return MICROSECONDS * seconds_per_call(call)


def peer_bytes(hosts: int) -> float:
    """Returns the bytes of a host that stores the states of a fleet."""
    return retained_bytes(lambda: fleet.make_host(hosts=hosts, sites=1))


def site_bytes(sites: int) -> float:
    """Returns the bytes of the services, kinds and targets of an intent."""
    return retained_bytes(lambda: fleet.make_intent(hosts=1, sites=sites))


def heartbeat_bytes(states: int) -> float:
    """Returns the encoded bytes of a heartbeat, by its number of states."""
    heartbeat = Heartbeat(
        tuple(fleet.make_state(i, services=0) for i in range(states))
    )
    return len(encode("host-0", heartbeat))


def host_state_bytes(services: int) -> float:
    """Returns the encoded bytes of a host state.

    Args:
        services: Number of services that the host has free slots for.
    """
    heartbeat = Heartbeat((fleet.make_state(0, services=services),))
    return len(encode("host-0", heartbeat))


def heartbeat_receive_us(states: int) -> float:
    """Returns the microseconds to make, encode, decode and handle a heartbeat.

    Args:
        states: Number of host states in the heartbeat.
    """
    host = fleet.make_host(hosts=200, sites=1)
    heartbeat_number = [1]

    def call():
        heartbeat_number[0] += 1
        heartbeat = Heartbeat(
            tuple(
                fleet.make_state(i, services=0, beat=heartbeat_number[0])
                for i in range(1, states + 1)
            )
        )
        envelope = decode(encode("host-1", heartbeat))
        event = MessageArrived(envelope.sender, envelope.message)
        host.handle(1.0, event)

    return MICROSECONDS * seconds_per_call(call)


def tick_us(hosts: int) -> float:
    """Returns the microseconds of a tick with gossip, by the fleet size."""
    host = fleet.make_host(hosts=hosts, sites=9)
    clock = [0.0]

    def call():
        clock[0] += 1e-6
        host.membership.next_gossip_at = 0.0
        effects = host.handle(clock[0], Ticked())
        for effect in effects:
            if isinstance(effect, Send):
                encode("host-0", effect.message)

    return MICROSECONDS * seconds_per_call(call)


def change_us(sites: int) -> float:
    """Returns the microseconds to apply a change, by sites of the intent."""
    intent = fleet.make_intent(hosts=100, sites=sites)
    change = fleet.make_change(1)
    return MICROSECONDS * seconds_per_call(lambda: apply_change(intent, change))


def change_bytes(count: int) -> float:
    """Returns the bytes of retained changes."""
    return retained_bytes(lambda: [fleet.make_change(v) for v in range(count)])


def measure_slopes() -> list[Slope]:
    """Runs all measurements, which takes about a minute."""
    return [
        measure_slope(
            "block table",
            "bytes",
            "block",
            (20_000, 100_000, 400_000),
            block_bytes,
        ),
        measure_slope(
            "blocks in the intent",
            "bytes",
            "block",
            (5_000, 20_000, 80_000),
            block_intent_bytes,
        ),
        measure_slope(
            "block look-up",
            "us",
            "block",
            (20_000, 100_000, 400_000),
            block_lookup_us,
        ),
        measure_slope(
            "look-up decision", "us", "host", (10, 100, 1000, 4000), lookup_us
        ),
        measure_slope(
            "ranks made anew",
            "us",
            "host",
            (10, 100, 1000, 4000),
            lookup_index_us,
        ),
        measure_slope(
            "known hosts", "bytes", "host", (10, 100, 1000, 4000), peer_bytes
        ),
        measure_slope(
            "sites in the intent", "bytes", "site", (10, 100, 560), site_bytes
        ),
        measure_slope(
            "heartbeat on the wire",
            "bytes",
            "state",
            (1, 8, 24),
            heartbeat_bytes,
        ),
        measure_slope(
            "state on the wire",
            "bytes",
            "service",
            (0, 8, 64),
            host_state_bytes,
        ),
        measure_slope(
            "heartbeat made, decoded, taken in",
            "us",
            "state",
            (1, 8, 24),
            heartbeat_receive_us,
        ),
        measure_slope(
            "tick with gossip", "us", "host", (10, 100, 1000, 4000), tick_us
        ),
        measure_slope(
            "change put in force", "us", "site", (10, 100, 560), change_us
        ),
        measure_slope(
            "changes kept", "bytes", "change", (100, 1000, 8000), change_bytes
        ),
    ]
