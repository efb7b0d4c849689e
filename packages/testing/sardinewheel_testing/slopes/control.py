"""Control-plane cost of a host by fleet size.

Runs one real core against a synthetic fleet whose heartbeat numbers keep
rising, and counts the bytes that it sends and the processor time that it uses.
On average, a host receives as many bytes as it sends.
"""

import time
from typing import NamedTuple

from sardinewheel_core.effects import MessageArrived, ReadRows, Send, Ticked
from sardinewheel_core.host import EntryHost
from sardinewheel_core.membership import beat_id_of
from sardinewheel_core.messages import Heartbeat, Message
from sardinewheel_entry.peers import decode, encode

from sardinewheel_testing.slopes import fleet

TICKS_PER_S = 10
WARM_UP_S = 5
MEASURED_S = 20
FRAME_OVERHEAD_BYTES = 50  # WebSocket, TCP and IP headers per frame.


class ControlCost(NamedTuple):
    """Control-plane cost of one host per second.

    Attributes:
        hosts: Number of hosts in the fleet.
        sent_bytes: Bytes sent, including frame headers.
        messages: Messages sent.
        processor_share: Share of a core used to make and to handle messages.
        reads: Reads of the platform's table.
    """

    hosts: int
    sent_bytes: float
    messages: float
    processor_share: float
    reads: float


def measure(hosts: int, *, sites: int = 9) -> ControlCost:
    """Measures the control-plane cost of one host in a synthetic fleet."""
    host = fleet.make_host(hosts=hosts, sites=sites)
    host.configuration.intent = fleet.make_intent(hosts=hosts, sites=sites)
    heartbeat_numbers = {
        beat_id_of(state): 1 for state in host.membership.states.values()
    }
    sent_bytes = messages = reads = 0
    cpu_s = 0.0
    for tick in range((WARM_UP_S + MEASURED_S) * TICKS_PER_S):
        now = 1.0 + tick / TICKS_PER_S
        is_measured = tick >= WARM_UP_S * TICKS_PER_S
        if tick % TICKS_PER_S == 0:
            _advance_heartbeats(host, now, heartbeat_numbers)
        started_at = time.process_time()
        effects = host.handle(now, Ticked())
        frames = [encode("host-0", _message_of(e)) for e in _sends(effects)]
        for frame in frames:
            # A host receives as many messages as it sends.
            _receive(host, now, frame)
        if is_measured:
            cpu_s += time.process_time() - started_at
            sent_bytes += sum(len(f) + FRAME_OVERHEAD_BYTES for f in frames)
            messages += len(frames)
            reads += sum(isinstance(e, ReadRows) for e in effects)
    return ControlCost(
        hosts,
        sent_bytes / MEASURED_S,
        messages / MEASURED_S,
        cpu_s / MEASURED_S,
        reads / MEASURED_S,
    )


def _sends(effects: list) -> list[Send]:
    return [e for e in effects if isinstance(e, Send)]


def _message_of(effect: Send) -> Message:
    return effect.message


def _advance_heartbeats(
    host: EntryHost, now: float, heartbeat_numbers: dict[int, int]
) -> None:
    for beat_id in heartbeat_numbers:
        heartbeat_numbers[beat_id] += 1
    host.membership.merge_heartbeat_counters(
        now, tuple(heartbeat_numbers.items())
    )


def _receive(host: EntryHost, now: float, frame: bytes) -> None:
    message = decode(frame).message
    if isinstance(message, Heartbeat):
        # A host receives its own state only when it is superseded.
        states = tuple(s for s in message.states if s.name != "host-0")
        message = message._replace(states=states)
    host.handle(now, MessageArrived("host-1", message))
