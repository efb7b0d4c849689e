"""Requests of operators to change the configuration, and the replies."""

from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.change import Change, Operation
from sardinewheel_core.errors import Finding
from sardinewheel_core.preview import Difference, Strain, Usage


class ChangeRequest(NamedTuple):
    """An operator's request to change the configuration.

    Attributes:
        operations: Operations of the change, in order.
        author: Name of the operator.
        change_id: Unique id; looked up when the reply was lost.
        base_version: Version that the change is based on, or 0 for the
            latest.
        dry_run: Whether only a preview is requested.
        force: Names of the guarantees
            (:class:`~sardinewheel_core.preview.Promise`) that the change may
            put at risk.
        usage: Usage that the operator's client measured over all hosts.
        again: Whether the request was sent before and the reply was lost.
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
    """Outcome of a change request.

    ``STRAINED``: refused, as the change would put guarantees at risk that the
    operator did not force.
    ``PREVIEWED``: only a preview was requested.
    ``ABSENT``: the change id has created no version so far.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    STRAINED = "strained"
    PREVIEWED = "previewed"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class ChangeReply(NamedTuple):
    """Reply to a change request.

    Attributes:
        state: Outcome of the request.
        change_id: Id of the change.
        version: Version that the change created, or on which it was
            previewed.
        findings: Validation errors.
        differences: Differences that the change makes.
        strains: Guarantees that the change would put at risk.
        winner: On a conflict, the change that created the version.
    """

    state: ChangeState
    change_id: str = ""
    version: int = 0
    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()
    strains: tuple[Strain, ...] = ()
    winner: Change | None = None


class Problem(NamedTuple):
    """Error reply of a host: all findings about the request."""

    findings: tuple[Finding, ...]
