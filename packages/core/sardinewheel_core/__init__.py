"""Decision logic of sardinewheel, without I/O.

An :class:`EntryHost` handles events and returns effects. Events and effects
are in :mod:`sardinewheel_core.effects`, messages between hosts in
:mod:`sardinewheel_core.messages`, and the operators' configuration and its
changes in :mod:`sardinewheel_core.intent` and :mod:`sardinewheel_core.change`.
"""

from sardinewheel_core.change import Change, apply_change
from sardinewheel_core.errors import SardinewheelError
from sardinewheel_core.host import EntryHost, Identity
from sardinewheel_core.intent import Intent
from sardinewheel_core.request import Answer, Outcome, Request

__all__ = [
    "Answer",
    "Change",
    "EntryHost",
    "Identity",
    "Intent",
    "Outcome",
    "Request",
    "SardinewheelError",
    "apply_change",
]
