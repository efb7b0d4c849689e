"""Changes that operators make, through any entry host."""

import time
import uuid

import falcon
import gevent
from sardinewheel_core import views
from sardinewheel_core.change import Change
from sardinewheel_core.effects import (
    ChangeProposed,
    ChangeStatusRequested,
    ProposalEnded,
    ProposalState,
)
from sardinewheel_core.errors import Finding, RequestError
from sardinewheel_core.operator_messages import (
    ChangeReply,
    ChangeRequest,
    ChangeState,
)
from sardinewheel_core.preview import Preview, force_findings, preview

from sardinewheel_entry.api import media
from sardinewheel_entry.driver import Driver

BASE_WAIT_S = 3.0
BASE_POLL_S = 0.05
MAX_VERSIONS_SHOWN = 50
STATUS_BY_STATE = {
    ChangeState.ACCEPTED: falcon.HTTP_200,
    ChangeState.PREVIEWED: falcon.HTTP_200,
    ChangeState.REJECTED: falcon.HTTP_409,
    ChangeState.CONFLICT: falcon.HTTP_409,
    ChangeState.STRAINED: falcon.HTTP_409,
    ChangeState.ABSENT: falcon.HTTP_404,
    ChangeState.UNKNOWN: falcon.HTTP_504,
}


class ChangesResource:
    """``POST /v1/changes``: change the intent, or preview a change."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Proposes a change and says how that ended."""
        request = media.decode(media.read(req), ChangeRequest)
        if request.base_version < 0:
            value = str(request.base_version)
            finding = Finding("base_version", value, "0 or more")
            raise RequestError((finding,))
        if not request.change_id:
            request = request._replace(change_id=str(uuid.uuid4()))
        give_reply(resp, self._answer(request))

    def _answer(self, request: ChangeRequest) -> ChangeReply:
        if self.driver.host.configuration.by_id(request.change_id):
            return self._propose(request)
        if request.again:
            ended = self.driver.propose(
                ChangeStatusRequested(0, request.change_id)
            )
            if ended.state is not ProposalState.ABSENT:
                return reply_of(ended, request.change_id)
        self._wait_for_base(request.base_version)
        winner = self._winner(request)
        if winner is not None:
            state = ChangeState.CONFLICT
            return ChangeReply(state, request.change_id, winner=winner)
        seen = self._preview(request)
        findings = force_findings(request.force)
        if findings:
            return _reply(ChangeState.REJECTED, request, seen, findings)
        if request.dry_run:
            state = ChangeState.PREVIEWED
            if seen.findings:
                state = ChangeState.REJECTED
            return _reply(state, request, seen, seen.findings)
        if seen.unforced(request.force):
            # Another host may still be working on the same change.
            state = ChangeState.STRAINED
            if request.again:
                state = ChangeState.UNKNOWN
            return _reply(state, request, seen)
        return self._propose(request, seen)

    def _preview(self, request: ChangeRequest) -> Preview:
        host = self.driver.host
        usage = request.usage.at_least(views.usage(host))
        intent = host.configuration.intent
        return preview(intent, request.operations, usage)

    def _winner(self, request: ChangeRequest) -> Change | None:
        """Returns the change that followed the operator's version, if any."""
        if not request.base_version:
            return None
        changes = self.driver.host.configuration.changes
        return changes.get(request.base_version + 1)

    def _wait_for_base(self, base_version: int) -> None:
        """Waits for a version that the operator saw on another host."""
        deadline = time.monotonic() + BASE_WAIT_S
        configuration = self.driver.host.configuration
        while configuration.version < base_version:
            if time.monotonic() > deadline:
                return
            gevent.sleep(BASE_POLL_S)

    def _propose(
        self, request: ChangeRequest, seen: Preview | None = None
    ) -> ChangeReply:
        ended = self.driver.propose(
            ChangeProposed(
                0,
                request.change_id,
                request.author,
                request.base_version,
                request.operations,
            )
        )
        reply = reply_of(ended, request.change_id)
        if seen is None:
            return reply
        return reply._replace(
            differences=seen.differences, strains=seen.strains
        )


class ChangeResource:
    """``GET /v1/changes/{change_id}``: what became of a change."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, change_id: str
    ) -> None:
        """Answers accepted with the version, absent, or unknown."""
        ended = self.driver.propose(ChangeStatusRequested(0, change_id))
        give_reply(resp, reply_of(ended, change_id))


class VersionsResource:
    """``GET /v1/versions``: the latest changes, oldest first."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with changes in force on this host."""
        changes = self.driver.host.configuration.changes
        latest = sorted(changes)[-MAX_VERSIONS_SHOWN:]
        media.give(resp, tuple(changes[version] for version in latest))


def give_reply(resp: falcon.Response, reply: ChangeReply) -> None:
    """Writes a change's end as an HTTP response."""
    media.give(resp, reply, STATUS_BY_STATE[reply.state])


def reply_of(ended: ProposalEnded, change_id: str) -> ChangeReply:
    """Returns a proposal's end as operators get it."""
    return ChangeReply(
        ChangeState(str(ended.state)),
        change_id,
        ended.version,
        findings=ended.findings,
        winner=ended.winner,
    )


def _reply(
    state: ChangeState,
    request: ChangeRequest,
    seen: Preview,
    findings: tuple = (),
) -> ChangeReply:
    return ChangeReply(
        state,
        request.change_id,
        seen.version,
        findings=findings,
        differences=seen.differences,
        strains=seen.strains,
    )
