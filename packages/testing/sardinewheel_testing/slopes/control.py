"""What a host's control traffic costs, by the size of its fleet.

One real core hears from a made-up fleet whose beats keep rising; what it
sends, and the processor time that it uses, are counted. On average a host
receives as many bytes as it sends.
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
COUNTED_S = 20
FRAME_BYTES = 50  # WebSocket, TCP and IP headers of a frame.


class ControlCost(NamedTuple):
    """What control costs one host a second.

    Attributes:
        hosts: Hosts in the fleet.
        sent_bytes: Bytes sent, headers included.
        messages: Messages sent.
        processor_share: Share of a core, messages made and taken in.
        reads: Calls to the platform's table.
    """

    hosts: int
    sent_bytes: float
    messages: float
    processor_share: float
    reads: float


def measure(hosts: int, *, sites: int = 9) -> ControlCost:
    """Counts the control of one host in a fleet of a size."""
    host = fleet.make_host(hosts=hosts, sites=sites)
    host.configuration.intent = fleet.make_intent(hosts=hosts, sites=sites)
    beats = {beat_id_of(state): 1 for state in host.membership.states.values()}
    sent_bytes = messages = reads = 0
    used_s = 0.0
    for tick in range((WARM_UP_S + COUNTED_S) * TICKS_PER_S):
        now = 1.0 + tick / TICKS_PER_S
        is_counted = tick >= WARM_UP_S * TICKS_PER_S
        if tick % TICKS_PER_S == 0:
            _raise_beats(host, now, beats)
        started_at = time.process_time()
        effects = host.handle(now, Ticked())
        frames = [encode("host-0", _message_of(e)) for e in _sends(effects)]
        for frame in frames:
            # As many messages come in as go out.
            _take_in(host, now, frame)
        if is_counted:
            used_s += time.process_time() - started_at
            sent_bytes += sum(len(f) + FRAME_BYTES for f in frames)
            messages += len(frames)
            reads += sum(isinstance(e, ReadRows) for e in effects)
    return ControlCost(
        hosts,
        sent_bytes / COUNTED_S,
        messages / COUNTED_S,
        used_s / COUNTED_S,
        reads / COUNTED_S,
    )


def _sends(effects: list) -> list[Send]:
    return [e for e in effects if isinstance(e, Send)]


def _message_of(effect: Send) -> Message:
    return effect.message


def _raise_beats(host: EntryHost, now: float, beats: dict[int, int]) -> None:
    for beat_id in beats:
        beats[beat_id] += 1
    host.membership.merge_beats(now, tuple(beats.items()))


def _take_in(host: EntryHost, now: float, frame: bytes) -> None:
    message = decode(frame).message
    if isinstance(message, Heartbeat):
        # Its own state comes back only where a host is superseded.
        states = tuple(s for s in message.states if s.name != "host-0")
        message = message._replace(states=states)
    host.handle(now, MessageArrived("host-1", message))
