"""Which targets this host dispatches to, and which of them are leaving."""

from typing import TYPE_CHECKING

from sardinewheel_core.intent import Subject
from sardinewheel_core.ownership import owned_targets

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def refresh_targets(host: "EntryHost", now: float) -> None:
    """Takes over and gives up targets as hosts come and go."""
    intent = host.configuration.intent
    owned = owned_targets(
        intent, host.identity.name, host.membership.ready(now)
    )
    host.targets.own(owned)
    for name, state in host.targets.states.items():
        if intent.is_drained(Subject.TARGET, name):
            state.leaving = True
