"""Submits changes, recovers lost responses and reports conflicts."""

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

from sardinewheel_cli import drain_progress, rollouts
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
from sardinewheel_cli.usage import sum_usage

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

BAD_REQUEST = 400
MAX_SEND_ATTEMPTS = 8
MAX_RESOLVE_ATTEMPTS = 5
RESOLVE_INTERVAL_S = 0.5


def run(
    session: "Session", operations: tuple[Operation, ...], options: Options
) -> Output:
    """Submits or previews a change and returns the result.

    Raises:
        RefusedError: The change was rejected.
        StrainedError: The change would strain promises that are not forced.
        ConflictError: Another change was accepted since the base version.
        OutcomeUnknownError: It is unknown whether the change was accepted.
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
        usage=sum_usage(session.headroom(view)),
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
    """Waits until a change is in force and the drains it starts are done."""
    waited = [rollouts.wait(session, reply.version)]
    for operation in operations:
        if isinstance(operation, StartDrain):
            waited.append(drain_progress.wait(session, operation.drain))
    return waited


def _send_until_decided(
    session: "Session", request: ChangeRequest, options: Options
) -> tuple[ChangeReply, list[str]]:
    """Sends a change; after a conflict, resends it on top where allowed."""
    notes: list[str] = []
    for _ in range(MAX_SEND_ATTEMPTS):
        reply = _send(session, request, notes)
        if reply.state is not ChangeState.CONFLICT:
            _raise_on_failure(reply)
            return reply, notes
        _raise_unless_redo_allowed(reply, request, options)
        winner = reply.winner
        notes.append(
            f"version {winner.version} by {winner.author or 'unknown'} came"
            " first; submitted again on top of it"
        )
        request = request._replace(base_version=winner.version)
    raise ConflictError(reply)


def _raise_unless_redo_allowed(
    reply: ChangeReply, request: ChangeRequest, options: Options
) -> None:
    """Raises the conflict unless the change may be sent again on top.

    Without ``--redo``, only a change without an explicit base version is
    resent, and only if the winning change is independent: the operator
    decided without knowing the winning change.
    """
    if reply.winner is None or reply.findings:
        raise ConflictError(reply)
    if options.redo:
        return
    independent = is_independent(request.operations, reply.winner)
    if options.base_version or not independent:
        raise ConflictError(reply)


def _raise_on_failure(reply: ChangeReply) -> None:
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
    """Sends a change; queries its outcome by id if no response arrives."""
    reply = session.client.post("/v1/changes", to_plain(request))
    if reply.answered:
        return _decode(reply)
    notes.append(f"no response from {reply.address}: {reply.error}")
    resolved = _resolve_outcome(session, request)
    notes.append(f"outcome queried by change id: {resolved.state}")
    return resolved


def _resolve_outcome(session: "Session", request: ChangeRequest) -> ChangeReply:
    """Queries the outcome of a change through any host.

    The query is idempotent: for one change id and base version, at most one
    version is created.
    """
    plain = to_plain(request._replace(again=True))
    for _ in range(MAX_RESOLVE_ATTEMPTS):
        session.client.demote_first()
        try:
            reply = session.client.post("/v1/changes", plain)
        except UnreachableError:
            break
        if reply.answered:
            return _decode(reply)
        time.sleep(RESOLVE_INTERVAL_S)
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
        return f"dry run on version {reply.version}: no change was applied"
    return f"accepted as version {reply.version}, change {reply.change_id}"


def _differences(reply: ChangeReply) -> Grid:
    return Grid("changes", ("what", "before", "after"), reply.differences)
