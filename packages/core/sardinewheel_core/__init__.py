"""The decisions of sardinewheel, without I/O.

The public surface is small: an :class:`EntryHost` takes events and returns
effects. Events and effects are in :mod:`sardinewheel_core.effects`, peers'
messages in :mod:`sardinewheel_core.messages`, and what operators want in
:mod:`sardinewheel_core.intent` and :mod:`sardinewheel_core.change`.
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
