"""Messages between entry hosts.

Every message is a :class:`typing.NamedTuple` of plain values, so that any
codec can encode it. New fields go at the end and have a default: an older
receiver ignores unknown fields, a newer one uses the defaults of missing
fields.
"""

from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.change import Change
from sardinewheel_core.ticket import Owner

PROTOCOL_VERSION = 1
PROTOCOL_MINOR = 0


class Phase(StrEnum):
    """Phase of an entry host's life cycle."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class Strain(StrEnum):
    """Why traffic to the targets of a service must not grow for now.

    ``COLD``: the targets have answered too few requests so far.
    ``SHEDDING``: the targets refuse requests.
    """

    COLD = "cold"
    SHEDDING = "shedding"


class HostState(NamedTuple):
    """State of an entry host; other hosts relay it unchanged.

    Attributes:
        name: Seat that the host occupies.
        incarnation: Start time of the process, in nanoseconds; higher is
            newer.
        beat: Heartbeat counter of this incarnation.
        domain: Failure domain of the host.
        http_address: ``host:port`` for callers and forwarded requests.
        peer_address: ``host:port`` for messages.
        phase: Phase of the host.
        version: Configuration version in force on the host.
        epoch: Ticket epoch of the host.
        rooms: Pairs of service name and number of free slots.
        successor: Host that handles this incarnation's request ids once it is
            gone.
        answers_for: Stopped incarnations whose request ids it handles.
        leaving: Some targets that the host itself observed to be leaving.
        drained: Some of the drains in its configuration version, as
            ``subject/name``.
        spare: Weight units that it could lend within its region.
        settled: Version such that every seat of its region uses at most its
            shares of this version or of a newer one.
        positions: Pairs of shift and the share of traffic that the host tries
            to move, per mille.
        strains: Pairs of service and :class:`Strain` of its targets.
    """

    name: str
    incarnation: int
    beat: int
    domain: str
    http_address: str
    peer_address: str
    phase: Phase
    version: int
    epoch: int
    rooms: tuple[tuple[str, int], ...] = ()
    successor: str = ""
    answers_for: tuple[Owner, ...] = ()
    leaving: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()
    spare: int = 0
    settled: int = 0
    positions: tuple[tuple[str, int], ...] = ()
    strains: tuple[tuple[str, str], ...] = ()


class Heartbeat(NamedTuple):
    """Host states and heartbeat counters known to the sender.

    Attributes:
        states: Some complete states, the sender's own first.
        beats: Pairs of a host's beat id, a hash of seat and incarnation, and
            its latest heartbeat counter.
    """

    states: tuple[HostState, ...]
    beats: tuple[tuple[int, int], ...] = ()


class StatesWanted(NamedTuple):
    """Requests the complete states of the hosts with given beat ids."""

    beat_ids: tuple[int, ...]


class ChangesWanted(NamedTuple):
    """Requests the changes that follow a version."""

    after: int


class ChangesSent(NamedTuple):
    """Consecutive changes."""

    changes: tuple[Change, ...]


class SnapshotPart(NamedTuple):
    """Part of a complete intent, for a host many versions behind.

    Attributes:
        version: Version of the intent.
        part: Index of this part, from 0.
        parts: Number of parts.
        text: Part of the intent's JSON text.
    """

    version: int
    part: int
    parts: int
    text: str


class LoanWanted(NamedTuple):
    """Requests a loan of weight units from a host of the same region.

    Attributes:
        region: Region of both hosts.
        nonce: Number of the loan, unique in the borrower's incarnation; a
            renewal has the nonce of the loan.
        units: Weight units.
        incarnation: Incarnation of the borrower.
        round: Number of this request, unique in the borrower's incarnation.
    """

    region: str
    nonce: int
    units: int
    incarnation: int = 0
    round: int = 0


class LoanGranted(NamedTuple):
    """Lends units for ``duration_s`` seconds, measured from the request."""

    region: str
    nonce: int
    units: int
    duration_s: float
    incarnation: int = 0
    round: int = 0


class LoanReturned(NamedTuple):
    """Ends a loan early; the borrower no longer uses the units."""

    region: str
    nonce: int
    incarnation: int = 0


class OutcomeRecord(NamedTuple):
    """Outcome of one request id.

    Attributes:
        request_id: The id.
        outcome: An :class:`~sardinewheel_core.request.Outcome` value.
        status: HTTP status of the target's response, when done.
        reason: A :class:`~sardinewheel_core.request.Reason` value.
    """

    request_id: str
    outcome: str
    status: int = 0
    reason: str = "none"


class OutcomesHandedOn(NamedTuple):
    """Hands a stopping incarnation's request ids over to the receiver.

    Attributes:
        name: Seat of the stopping host.
        incarnation: The stopping incarnation.
        epoch: Its last ticket epoch.
        part: Index of this part, from 0.
        parts: Number of parts; the receiver handles the incarnation's ids
            once it has all of them.
        records: Outcomes in this part.
        receiver: Incarnation that the part is addressed to; any other one
            ignores it.
        is_final: Whether the records are the outcomes of ids that were in
            progress when the hand-over began.
    """

    name: str
    incarnation: int
    epoch: int
    part: int
    parts: int
    records: tuple[OutcomeRecord, ...]
    receiver: int = 0
    is_final: bool = False


class OutcomesTaken(NamedTuple):
    """Confirms that one part was received."""

    name: str
    incarnation: int
    part: int
    is_final: bool = False


Message = (
    Heartbeat
    | StatesWanted
    | ChangesWanted
    | ChangesSent
    | SnapshotPart
    | LoanWanted
    | LoanGranted
    | LoanReturned
    | OutcomesHandedOn
    | OutcomesTaken
)

MESSAGE_TYPES: tuple[type, ...] = (
    Heartbeat,
    StatesWanted,
    ChangesWanted,
    ChangesSent,
    SnapshotPart,
    LoanWanted,
    LoanGranted,
    LoanReturned,
    OutcomesHandedOn,
    OutcomesTaken,
)
