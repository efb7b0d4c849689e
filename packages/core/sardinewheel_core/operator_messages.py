"""What operators send to an entry host about changes, and its answers."""

from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.change import Change, Operation
from sardinewheel_core.errors import Finding
from sardinewheel_core.preview import Difference, Strain, Usage


class ChangeRequest(NamedTuple):
    """A change that an operator wants.

    Attributes:
        operations: What is to change, in order.
        author: Name of the operator.
        change_id: Unique id by which a lost answer is settled.
        base_version: Version the operator decided on, or 0 for the latest.
        dry_run: Whether only the effect is asked for.
        force: Names of the promises that may be strained.
        usage: What the operator's client saw in use over all hosts.
        again: Whether it was sent before and the answer was lost.
    """

    operations: tuple[Operation, ...]
    author: str = ""
    change_id: str = ""
    base_version: int = 0
    dry_run: bool = False
    force: tuple[str, ...] = ()
    usage: Usage = Usage()
    again: bool = False


class ChangeState(StrEnum):
    """How a change ended.

    ``STRAINED`` means that it was refused because it would strain promises
    that the operator did not force, ``PREVIEWED`` that only its effect was
    asked for, and ``ABSENT`` that its id created no version so far.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    STRAINED = "strained"
    PREVIEWED = "previewed"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class ChangeReply(NamedTuple):
    """How a change ended.

    Attributes:
        state: How it ended.
        change_id: Its id.
        version: Version that it created, or on which it was previewed.
        findings: What is wrong with it.
        differences: What it makes different.
        strains: Promises that it strains.
        winner: Change that won, on a conflict.
    """

    state: ChangeState
    change_id: str = ""
    version: int = 0
    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()
    strains: tuple[Strain, ...] = ()
    winner: Change | None = None


class Problem(NamedTuple):
    """Why a host does not answer: everything wrong with what was asked."""

    findings: tuple[Finding, ...]
