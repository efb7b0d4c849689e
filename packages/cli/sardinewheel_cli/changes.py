"""Makes changes, settles lost answers and shows conflicts."""

import time
import uuid
from typing import TYPE_CHECKING

from sardinewheel_core.change import Operation, StartDrain
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.entities import is_independent
from sardinewheel_core.operator_messages import (
    ChangeReply,
    ChangeRequest,
    ChangeState,
    Problem,
)

from sardinewheel_cli import drainage, rollouts
from sardinewheel_cli.client import Reply
from sardinewheel_cli.commands import Options
from sardinewheel_cli.errors import (
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    StrainedError,
    UnreachableError,
)
from sardinewheel_cli.tables import Grid, Output
from sardinewheel_cli.usage import usage_of

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

BAD_REQUEST = 400
MAX_REDOES = 8
MAX_SETTLE_CALLS = 5
SETTLE_INTERVAL_S = 0.5


def run(
    session: "Session", operations: tuple[Operation, ...], options: Options
) -> Output:
    """Makes or previews a change and returns what came of it.

    Raises:
        RefusedError: The change was rejected, strained or lost a conflict.
        OutcomeUnknownError: Nobody can say whether it was accepted.
        UnreachableError: No entry host answered.
    """
    view = session.view()
    request = ChangeRequest(
        operations=operations,
        author=session.author,
        change_id=str(uuid.uuid4()),
        base_version=options.base_version
        or max(view.version, session.last_version),
        dry_run=options.dry_run,
        force=options.force,
        usage=usage_of(session.headroom(view)),
    )
    reply, notes = _send_until_decided(session, request, options)
    if reply.state is ChangeState.ACCEPTED:
        session.last_version = reply.version
        if options.wait:
            return _output(reply, notes, *_wait(session, operations, reply))
    return _output(reply, notes)


def _wait(
    session: "Session", operations: tuple[Operation, ...], reply: ChangeReply
) -> list[Output]:
    """Waits until a change is in force and the places it drains are empty."""
    waited = [rollouts.wait(session, reply.version)]
    for operation in operations:
        if isinstance(operation, StartDrain):
            waited.append(drainage.wait(session, operation.drain))
    return waited


def _send_until_decided(
    session: "Session", request: ChangeRequest, options: Options
) -> tuple[ChangeReply, list[str]]:
    """Sends a change; after a conflict, again on top where that is safe."""
    notes: list[str] = []
    for _ in range(MAX_REDOES):
        reply = _send(session, request, notes)
        if reply.state is not ChangeState.CONFLICT:
            _raise_unless_done(reply)
            return reply, notes
        _raise_unless_may_redo(reply, request, options)
        winner = reply.winner
        notes.append(
            f"version {winner.version} by {winner.author or 'unknown'} came"
            " first; made again on top of it"
        )
        request = request._replace(base_version=winner.version)
    raise ConflictError(reply)


def _raise_unless_may_redo(
    reply: ChangeReply, request: ChangeRequest, options: Options
) -> None:
    """Lets a change be made again only if that repeats no decision blindly."""
    if reply.winner is None or reply.findings:
        raise ConflictError(reply)
    if options.redo:
        return
    is_apart = is_independent(request.operations, reply.winner)
    if options.base_version or not is_apart:
        raise ConflictError(reply)


def _raise_unless_done(reply: ChangeReply) -> None:
    match reply.state:
        case ChangeState.REJECTED:
            raise RefusedError(reply)
        case ChangeState.STRAINED:
            raise StrainedError(reply)
        case ChangeState.UNKNOWN | ChangeState.ABSENT:
            raise OutcomeUnknownError(reply)


def _send(
    session: "Session", request: ChangeRequest, notes: list[str]
) -> ChangeReply:
    """Sends a change; asks again under the same id if the answer is lost."""
    reply = session.client.post("/v1/changes", to_plain(request))
    if reply.answered:
        return _decode(reply)
    notes.append(f"the answer of {reply.address} was lost: {reply.error}")
    settled = _settle(session, request)
    notes.append(f"settled by its id: {settled.state}")
    return settled


def _settle(session: "Session", request: ChangeRequest) -> ChangeReply:
    """Finds out through any host what became of a change.

    The change id and the base version make the question idempotent: at most
    one version is created under them.
    """
    plain = to_plain(request._replace(again=True))
    for _ in range(MAX_SETTLE_CALLS):
        session.client.demote_first()
        try:
            reply = session.client.post("/v1/changes", plain)
        except UnreachableError:
            break
        if reply.answered:
            return _decode(reply)
        time.sleep(SETTLE_INTERVAL_S)
    return ChangeReply(ChangeState.UNKNOWN, request.change_id)


def _decode(reply: Reply) -> ChangeReply:
    if reply.status == BAD_REQUEST:
        problem = from_plain(reply.media, Problem)
        return ChangeReply(ChangeState.REJECTED, findings=problem.findings)
    return from_plain(reply.media, ChangeReply)


def _output(reply: ChangeReply, notes: list[str], *waited: Output) -> Output:
    grids = [_differences(reply)]
    lines = [*notes, *(f"strains {strain}" for strain in reply.strains)]
    lines.append(_headline(reply))
    media = {"change": to_plain(reply), "notes": notes}
    for output in waited:
        grids += output.grids
        lines += output.notes
        media |= output.media
    return Output(media, tuple(grids), tuple(lines))


def _headline(reply: ChangeReply) -> str:
    if reply.state is ChangeState.PREVIEWED:
        return f"dry run on version {reply.version}: nothing was changed"
    return f"accepted as version {reply.version}, change {reply.change_id}"


def _differences(reply: ChangeReply) -> Grid:
    return Grid("changes", ("what", "before", "after"), reply.differences)
