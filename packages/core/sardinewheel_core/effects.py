"""What the core asks its driver to do, and what the driver tells it.

The driver owns sockets, clocks and processes. It passes an event to
:meth:`sardinewheel_core.host.EntryHost.handle` and carries out the effects
that come back, in order.
"""

from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.attempt import AttemptResult
from sardinewheel_core.change import Change, Operation
from sardinewheel_core.errors import Finding
from sardinewheel_core.intent import Target
from sardinewheel_core.messages import Message
from sardinewheel_core.request import Answer, Reason, Request

# Events: the driver tells the core.


class RequestArrived(NamedTuple):
    """A caller or a peer handed in a request.

    Attributes:
        arrival_id: Unique number of this arrival; the reply carries it.
        request: The request.
    """

    arrival_id: int
    request: Request


class AttemptEnded(NamedTuple):
    """An attempt that the core ordered has ended."""

    attempt_id: int
    result: AttemptResult


class CancelArrived(NamedTuple):
    """A caller no longer wants the answer to a request."""

    request_id: str


class ChangeProposed(NamedTuple):
    """An operator wants to change the intent.

    Attributes:
        proposal_id: Number under which the end is reported.
        change_id: Unique id of the change, by which a lost answer is settled.
        author: Name of the operator.
        base_version: Version the operator decided on, or 0 for the latest.
        operations: What is to change.
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
    """Time has passed; the driver sends this about ten times a second."""


class RowsRead(NamedTuple):
    """The platform answered a read of the table.

    Attributes:
        call_id: Call that it answers.
        rows: Triples of key, row version (0 when absent) and value (JSON).
        failed: Whether the platform did not answer.
    """

    call_id: int
    rows: tuple[tuple[str, int, str], ...]
    failed: bool = False


class TransactionEnded(NamedTuple):
    """The platform answered a transaction, or its outcome was settled.

    Attributes:
        call_id: Call that it answers.
        committed: Whether the writes took effect.
        rows: On a conflict, the rows that did not match.
        failed: Whether the outcome could not be learned.
    """

    call_id: int
    committed: bool
    rows: tuple[tuple[str, int, str], ...] = ()
    failed: bool = False


class ObjectRead(NamedTuple):
    """The platform answered a read of the object store.

    Attributes:
        call_id: Call that it answers.
        text: The object, or nothing when it is absent.
        failed: Whether the platform did not answer.
    """

    call_id: int
    text: str | None = None
    failed: bool = False


class ChangeStatusRequested(NamedTuple):
    """An operator asks what became of a change.

    Attributes:
        proposal_id: Number under which the answer is reported.
        change_id: Id of the change.
    """

    proposal_id: int
    change_id: str


class HostListRead(NamedTuple):
    """The platform's lagging list of hosts: pairs of name and state."""

    hosts: tuple[tuple[str, str], ...]


class ProbeCompleted(NamedTuple):
    """A target answered a probe.

    Attributes:
        target: Name of the target.
        healthy: Whether it says that it is healthy.
        in_flight: Requests that it says are in flight, or -1 if unknown.
        draining: Whether it says that it is leaving; nothing if it does not
            say.
    """

    target: str
    healthy: bool
    in_flight: int = -1
    draining: bool | None = None


class StopOrdered(NamedTuple):
    """This entry host is to leave in an orderly way."""


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

# Effects: the core asks the driver.


class Dispatch(NamedTuple):
    """Send a request to a target.

    Attributes:
        attempt_id: Id to report the end under.
        request: Request to send.
        target: Target to send it to.
        arrival_id: Arrival that brought the body.
        max_idle_s: Seconds since its latest response that a connection may
            have been idle; 0 asks for a new one.
    """

    attempt_id: int
    request: Request
    target: Target
    arrival_id: int
    max_idle_s: float


class Forward(NamedTuple):
    """Hand a request on to another entry host.

    Attributes:
        attempt_id: Id to report the end under.
        request: Request to hand on.
        host: Name of the entry host.
        address: ``host:port`` of its HTTP interface.
        reason: Why it is handed on.
        arrival_id: Arrival that brought the body.
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
    """Tell the target or peer that an attempt is no longer wanted."""

    attempt_id: int


class Reply(NamedTuple):
    """Give the sender of an arrival its final answer.

    Attributes:
        arrival_id: Arrival that is answered.
        answer: The answer.
    """

    arrival_id: int
    answer: Answer


class ProposalState(StrEnum):
    """How a proposal ended.

    ``UNKNOWN`` is said only when the platform stayed away after the change
    may have reached it; ``ABSENT`` answers a question about a change id that
    created no version so far.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class ProposalEnded(NamedTuple):
    """Tell an operator how a proposed change ended.

    Attributes:
        proposal_id: Proposal that ended.
        state: How it ended.
        version: Version that it created, when accepted.
        findings: What is wrong with it, when rejected.
        winner: Change that won, on a conflict.
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
    """Ask a target for its health and load; ends in ``ProbeCompleted``."""

    target: Target


class Transact(NamedTuple):
    """Write rows if others have the expected versions, in one transaction.

    Attributes:
        call_id: Id to report the end under.
        change_id: Unique id by which a lost answer is settled.
        checks: Pairs of key and expected row version; 0 means absent.
        writes: Pairs of key and value (JSON).
    """

    call_id: int
    change_id: str
    checks: tuple[tuple[str, int], ...]
    writes: tuple[tuple[str, str], ...]


class Report(NamedTuple):
    """One line for the log: an event's name and its fields."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...]


class Exit(NamedTuple):
    """This entry host has finished leaving; the process may end."""


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
