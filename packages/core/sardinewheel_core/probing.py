"""Schedules load probes of the targets that this host dispatches to."""

from typing import TYPE_CHECKING

from sardinewheel_core import drain_signals
from sardinewheel_core.effects import Probe, ProbeCompleted

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

PROBE_INTERVAL_S = 1.0
MAX_PROBES_PER_S = 10.0
PROBE_TIMEOUT_S = 5.0
JITTER = 0.1


class ProbeSchedule:
    """Due and unanswered probes, by target.

    Attributes:
        due_at: When each target is due for its next probe.
        started_at: When the unanswered probe of each target was sent.
        sent: Number of probes sent so far.
    """

    def __init__(self):
        self.due_at: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self.sent = 0

    def is_due(self, now: float, target: str) -> bool:
        """Returns whether a target should be probed now."""
        started_at = self.started_at.get(target)
        if started_at is not None and now - started_at < PROBE_TIMEOUT_S:
            return False
        return now >= self.due_at.get(target, now)

    def retain(self, targets: set[str]) -> None:
        """Drops targets that this host no longer dispatches to."""
        for times in (self.due_at, self.started_at):
            for name in [n for n in times if n not in targets]:
                del times[name]


def on_tick(host: "EntryHost", now: float) -> None:
    """Probes due targets, on average at most ``MAX_PROBES_PER_S``."""
    schedule, states = host.probes, host.targets.states
    schedule.retain(set(states))
    interval_s = max(PROBE_INTERVAL_S, len(states) / MAX_PROBES_PER_S)
    for name, state in states.items():
        if schedule.is_due(now, name):
            jitter = host.rng.uniform(1 - JITTER, 1 + JITTER)
            schedule.due_at[name] = now + interval_s * jitter
            schedule.started_at[name] = now
            schedule.sent += 1
            host.emit(Probe(state.target))


def on_load_report(
    host: "EntryHost", now: float, event: ProbeCompleted
) -> None:
    """Applies the result of a probe to its target's state."""
    host.probes.started_at.pop(event.target, None)
    state = host.targets.states.get(event.target)
    if state is None:
        return
    state.apply_load_report(
        now, healthy=event.healthy, in_flight=event.in_flight
    )
    if event.draining is not None:
        drain_signals.on_draining_signal(
            host, now, event.target, draining=event.draining
        )
