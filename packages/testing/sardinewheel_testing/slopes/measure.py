"""The measurements, one function per slope."""

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

MIN_TIMED_S = 0.1
MICROSECONDS = 1e6


class Slope(NamedTuple):
    """A fitted slope.

    Attributes:
        name: What costs what.
        unit: Unit of the cost.
        per: What the size counts.
        samples: The measurements.
        line: The line through them.
    """

    name: str
    unit: str
    per: str
    samples: tuple[Sample, ...]
    line: Line


def slope(
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
    """Returns the processor time of one call, in seconds."""
    calls = 1
    while True:
        started_at = time.process_time()
        for _ in range(calls):
            call()
        used_s = time.process_time() - started_at
        if used_s >= MIN_TIMED_S:
            return used_s / calls
        calls *= 2


def bytes_kept(make: Callable[[], object]) -> float:
    """Returns the memory that the result of a call keeps, in bytes."""
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
    """Bytes of a block table."""
    blocks = fleet.make_blocks(count)
    table = BlockTable.from_blocks(blocks)
    arrays = (table.v4, table.v6)
    return sum(
        sys.getsizeof(a.starts) + sys.getsizeof(a.regions) for a in arrays
    )


def block_intent_bytes(count: int) -> float:
    """Bytes of blocks as entries of an intent."""
    return bytes_kept(lambda: {b.prefix: b for b in fleet.make_blocks(count)})


def block_look_up_us(count: int) -> float:
    """Microseconds to find a block's region."""
    table = BlockTable.from_blocks(fleet.make_blocks(count))
    return MICROSECONDS * seconds_per_call(lambda: table.region_of("10.0.5.7"))


def look_up_us(hosts: int) -> float:
    """Microseconds of a look-up's decision."""
    host = fleet.make_host(hosts=hosts, sites=9)
    rng = random.Random(1)
    services = [f"site-{i}" for i in range(9)]
    return MICROSECONDS * seconds_per_call(
        lambda: host.look_up(1.0, service=rng.choice(services), block="")
    )


def look_up_index_us(hosts: int) -> float:
    """Microseconds to make the ranks of one region and service anew."""
    host = fleet.make_host(hosts=hosts, sites=9)
    clock = [1.0]

    def call():
        clock[0] += 1e-7
        host._lookup_index.made_at = -10.0
        host.look_up(clock[0], service="site-1", block="")

    return MICROSECONDS * seconds_per_call(call)


def peer_bytes(hosts: int) -> float:
    """Bytes of the states of known hosts."""
    return bytes_kept(lambda: fleet.make_host(hosts=hosts, sites=1))


def site_bytes(sites: int) -> float:
    """Bytes of the services, kinds and targets of an intent."""
    return bytes_kept(lambda: fleet.make_intent(hosts=1, sites=sites))


def state_bytes(states: int) -> float:
    """Bytes of a heartbeat on the wire, by the states in it."""
    heartbeat = Heartbeat(
        tuple(fleet.make_state(i, services=0) for i in range(states))
    )
    return len(encode("host-0", heartbeat))


def room_bytes(services: int) -> float:
    """Bytes of a host's state on the wire, by the services it has room for."""
    heartbeat = Heartbeat((fleet.make_state(0, services=services),))
    return len(encode("host-0", heartbeat))


def heartbeat_receive_us(states: int) -> float:
    """Microseconds to decode and take in a heartbeat, by its states."""
    host = fleet.make_host(hosts=200, sites=1)
    beats = [1]

    def call():
        beats[0] += 1
        heartbeat = Heartbeat(
            tuple(
                fleet.make_state(i, services=0, beat=beats[0])
                for i in range(1, states + 1)
            )
        )
        envelope = decode(encode("host-1", heartbeat))
        event = MessageArrived(envelope.sender, envelope.message)
        host.handle(1.0, event)

    return MICROSECONDS * seconds_per_call(call)


def tick_us(hosts: int) -> float:
    """Microseconds of a tick with its gossip, by known hosts."""
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
    """Microseconds to put a change in force, by sites."""
    intent = fleet.make_intent(hosts=100, sites=sites)
    change = fleet.make_change(1)
    return MICROSECONDS * seconds_per_call(lambda: apply_change(intent, change))


def change_bytes(count: int) -> float:
    """Bytes that the kept changes take."""
    return bytes_kept(lambda: [fleet.make_change(v) for v in range(count)])


def all_slopes() -> list[Slope]:
    """Measures everything; takes about a minute."""
    return [
        slope(
            "block table",
            "bytes",
            "block",
            (20_000, 100_000, 400_000),
            block_bytes,
        ),
        slope(
            "blocks in the intent",
            "bytes",
            "block",
            (5_000, 20_000, 80_000),
            block_intent_bytes,
        ),
        slope(
            "block look-up",
            "us",
            "block",
            (20_000, 100_000, 400_000),
            block_look_up_us,
        ),
        slope(
            "look-up decision", "us", "host", (10, 100, 1000, 4000), look_up_us
        ),
        slope(
            "ranks made anew",
            "us",
            "host",
            (10, 100, 1000, 4000),
            look_up_index_us,
        ),
        slope(
            "known hosts", "bytes", "host", (10, 100, 1000, 4000), peer_bytes
        ),
        slope(
            "sites in the intent", "bytes", "site", (10, 100, 560), site_bytes
        ),
        slope(
            "heartbeat on the wire", "bytes", "state", (1, 8, 24), state_bytes
        ),
        slope("state on the wire", "bytes", "service", (0, 8, 64), room_bytes),
        slope(
            "heartbeat made, decoded, taken in",
            "us",
            "state",
            (1, 8, 24),
            heartbeat_receive_us,
        ),
        slope("tick with gossip", "us", "host", (10, 100, 1000, 4000), tick_us),
        slope("change put in force", "us", "site", (10, 100, 560), change_us),
        slope(
            "changes kept", "bytes", "change", (100, 1000, 8000), change_bytes
        ),
    ]
