"""Events that the driver passes to the core, and effects that the core returns.

The driver owns sockets, clocks and processes. It passes an event to
:meth:`sardinewheel_core.host.EntryHost.handle` and carries out the returned
effects in order.
"""

from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.attempt import AttemptResult
from sardinewheel_core.change import Change, Operation
from sardinewheel_core.errors import Finding
from sardinewheel_core.intent import Target
from sardinewheel_core.messages import Message
from sardinewheel_core.request import Answer, Reason, Request

# Events: from the driver to the core.


class RequestArrived(NamedTuple):
    """A caller or a peer sent a request.

    Attributes:
        arrival_id: Unique number of this arrival; the reply refers to it.
        request: The request.
    """

    arrival_id: int
    request: Request


class AttemptEnded(NamedTuple):
    """An attempt started by :class:`Dispatch` or :class:`Forward` has ended."""

    attempt_id: int
    result: AttemptResult


class CancelArrived(NamedTuple):
    """A caller cancelled a request."""

    request_id: str


class ChangeProposed(NamedTuple):
    """An operator wants to change the intent.

    Attributes:
        proposal_id: Number that :class:`ProposalEnded` refers to.
        change_id: Unique id of the change, by which its outcome is found
            after a lost answer.
        author: Name of the operator.
        base_version: Version that the change is based on, or 0 for the latest.
        operations: Operations of the change.
    """

    proposal_id: int
    change_id: str
    author: str
    base_version: int
    operations: tuple[Operation, ...]


class MessageArrived(NamedTuple):
    """A peer sent a message.

    Attributes:
        sender: Name of the seat that sent it.
        message: The message.
    """

    sender: str
    message: Message


class Ticked(NamedTuple):
    """Time has passed; the driver sends this about ten times per second."""


class RowsRead(NamedTuple):
    """The platform answered a read of the table.

    Attributes:
        call_id: Call that is answered.
        rows: Triples of key, row version (0 when absent) and value (JSON).
        failed: Whether the platform did not answer.
    """

    call_id: int
    rows: tuple[tuple[str, int, str], ...]
    failed: bool = False


class TransactionEnded(NamedTuple):
    """The platform answered a transaction, or its outcome was found later.

    Attributes:
        call_id: Call that is answered.
        committed: Whether the writes took effect.
        rows: On a conflict, the rows whose versions did not match.
        failed: Whether the outcome is unknown.
    """

    call_id: int
    committed: bool
    rows: tuple[tuple[str, int, str], ...] = ()
    failed: bool = False


class ObjectRead(NamedTuple):
    """The platform answered a read of the object store.

    Attributes:
        call_id: Call that is answered.
        text: The object, or ``None`` when it is absent.
        failed: Whether the platform did not answer.
    """

    call_id: int
    text: str | None = None
    failed: bool = False


class ChangeStatusRequested(NamedTuple):
    """An operator queries the outcome of a change.

    Attributes:
        proposal_id: Number that :class:`ProposalEnded` refers to.
        change_id: Id of the change.
    """

    proposal_id: int
    change_id: str


class HostListRead(NamedTuple):
    """The platform answered a read of its list of hosts, which may be stale.

    Attributes:
        hosts: Pairs of name and state.
    """

    hosts: tuple[tuple[str, str], ...]


class ProbeCompleted(NamedTuple):
    """A probe of a target ended.

    Attributes:
        target: Name of the target.
        healthy: Whether the target answered that it is healthy.
        in_flight: Requests in flight that the target reports, or -1 if
            unknown.
        draining: Whether the target reports that it is leaving; ``None`` if
            it does not report this.
    """

    target: str
    healthy: bool
    in_flight: int = -1
    draining: bool | None = None


class StopOrdered(NamedTuple):
    """This entry host must shut down gracefully."""


Event = (
    RequestArrived
    | AttemptEnded
    | CancelArrived
    | ChangeProposed
    | MessageArrived
    | Ticked
    | RowsRead
    | TransactionEnded
    | ObjectRead
    | ChangeStatusRequested
    | HostListRead
    | ProbeCompleted
    | StopOrdered
)

# Effects: from the core to the driver.


class Dispatch(NamedTuple):
    """Send a request to a target.

    Attributes:
        attempt_id: Id that :class:`AttemptEnded` refers to.
        request: Request to send.
        target: Target to send it to.
        arrival_id: Arrival that the request body belongs to.
        max_idle_s: Longest time in seconds since its last response for which
            a connection may be reused; 0 requires a new connection.
    """

    attempt_id: int
    request: Request
    target: Target
    arrival_id: int
    max_idle_s: float


class Forward(NamedTuple):
    """Forward a request to another entry host.

    Attributes:
        attempt_id: Id that :class:`AttemptEnded` refers to.
        request: Request to forward.
        host: Name of the entry host.
        address: ``host:port`` of its HTTP interface.
        reason: Why the request is forwarded.
        arrival_id: Arrival that the request body belongs to.
        max_idle_s: As for :class:`Dispatch`.
    """

    attempt_id: int
    request: Request
    host: str
    address: str
    reason: Reason
    arrival_id: int
    max_idle_s: float


class CancelAttempt(NamedTuple):
    """Notify the target or peer that an attempt is cancelled."""

    attempt_id: int


class Reply(NamedTuple):
    """Send the final answer to an arrival.

    Attributes:
        arrival_id: Arrival that is answered.
        answer: The answer.
    """

    arrival_id: int
    answer: Answer


class ProposalState(StrEnum):
    """How a proposal ended.

    ``UNKNOWN`` is used only when the platform stopped answering after the
    change may have reached it. ``ABSENT`` answers a query about a change id
    that has created no version so far.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class ProposalEnded(NamedTuple):
    """Report to an operator how a proposed change ended.

    Attributes:
        proposal_id: Proposal that ended.
        state: How it ended.
        version: Version that it created, when accepted.
        findings: Errors of the change, when rejected.
        winner: Change that was accepted instead, on a conflict.
    """

    proposal_id: int
    state: ProposalState
    version: int = 0
    findings: tuple[Finding, ...] = ()
    winner: Change | None = None


class Send(NamedTuple):
    """Send a message to a peer; it may be lost.

    Attributes:
        host: Seat name of the receiver; empty when only the address is known.
        address: ``host:port`` of its peer interface.
        message: The message.
    """

    host: str
    address: str
    message: Message


class ReadRows(NamedTuple):
    """Read rows of the platform's table, in one call."""

    call_id: int
    keys: tuple[str, ...]


class ReadObject(NamedTuple):
    """Read an object of the platform's object store."""

    call_id: int
    name: str


class PutObject(NamedTuple):
    """Write an object of the platform's object store; it may fail."""

    call_id: int
    name: str
    text: str


class ReadHostList(NamedTuple):
    """Read the platform's list of hosts; a failure is not reported."""


class Probe(NamedTuple):
    """Request a target's health and load; ends in :class:`ProbeCompleted`."""

    target: Target


class Transact(NamedTuple):
    """Write rows if given rows have the expected versions, in one transaction.

    Attributes:
        call_id: Id that :class:`TransactionEnded` refers to.
        change_id: Unique id by which the outcome is found after a lost answer.
        checks: Pairs of key and expected row version; 0 means absent.
        writes: Pairs of key and value (JSON).
    """

    call_id: int
    change_id: str
    checks: tuple[tuple[str, int], ...]
    writes: tuple[tuple[str, str], ...]


class Report(NamedTuple):
    """Write one log line.

    Attributes:
        event: Name of the log event.
        fields: Pairs of key and value.
    """

    event: str
    fields: tuple[tuple[str, str | int | float], ...]


class Exit(NamedTuple):
    """This entry host has shut down; the process may end."""


Effect = (
    Dispatch
    | Forward
    | CancelAttempt
    | Reply
    | ProposalEnded
    | Send
    | ReadRows
    | ReadObject
    | PutObject
    | ReadHostList
    | Probe
    | Transact
    | Report
    | Exit
)
