"""Resources for configuration changes; any entry host accepts them."""

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

BASE_VERSION_TIMEOUT_S = 3.0
BASE_VERSION_POLL_S = 0.05
MAX_LISTED_VERSIONS = 50
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
    """``POST /v1/changes``: applies or previews a change of the intent."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Proposes or previews a change and responds with the result."""
        request = media.decode(media.read(req), ChangeRequest)
        if request.base_version < 0:
            value = str(request.base_version)
            finding = Finding("base_version", value, "0 or more")
            raise RequestError((finding,))
        if not request.change_id:
            request = request._replace(change_id=str(uuid.uuid4()))
        write_reply(resp, self._process_request(request))

    def _process_request(self, request: ChangeRequest) -> ChangeReply:
        if self.driver.host.configuration.change_by_id(request.change_id):
            return self._propose(request)
        if request.again:
            result = self.driver.propose(
                ChangeStatusRequested(0, request.change_id)
            )
            if result.state is not ProposalState.ABSENT:
                return change_reply(result, request.change_id)
        self._wait_for_base_version(request.base_version)
        winner = self._conflicting_change(request)
        if winner is not None:
            state = ChangeState.CONFLICT
            return ChangeReply(state, request.change_id, winner=winner)
        previewed = self._preview(request)
        findings = force_findings(request.force)
        if findings:
            return _previewed_reply(
                ChangeState.REJECTED, request, previewed, findings
            )
        if request.dry_run:
            state = ChangeState.PREVIEWED
            if previewed.findings:
                state = ChangeState.REJECTED
            return _previewed_reply(
                state, request, previewed, previewed.findings
            )
        if previewed.unforced(request.force):
            # Another host may still be processing the same change.
            state = ChangeState.STRAINED
            if request.again:
                state = ChangeState.UNKNOWN
            return _previewed_reply(state, request, previewed)
        return self._propose(request, previewed)

    def _preview(self, request: ChangeRequest) -> Preview:
        host = self.driver.host
        usage = request.usage.element_wise_max(views.usage(host))
        intent = host.configuration.intent
        return preview(intent, request.operations, usage)

    def _conflicting_change(self, request: ChangeRequest) -> Change | None:
        """Returns the change accepted on top of the base version, if any."""
        if not request.base_version:
            return None
        changes = self.driver.host.configuration.changes
        return changes.get(request.base_version + 1)

    def _wait_for_base_version(self, base_version: int) -> None:
        """Waits until this host has the base version, or until a timeout.

        The operator may have read that version from another host.
        """
        deadline = time.monotonic() + BASE_VERSION_TIMEOUT_S
        configuration = self.driver.host.configuration
        while configuration.version < base_version:
            if time.monotonic() > deadline:
                return
            gevent.sleep(BASE_VERSION_POLL_S)

    def _propose(
        self, request: ChangeRequest, previewed: Preview | None = None
    ) -> ChangeReply:
        result = self.driver.propose(
            ChangeProposed(
                0,
                request.change_id,
                request.author,
                request.base_version,
                request.operations,
            )
        )
        reply = change_reply(result, request.change_id)
        if previewed is None:
            return reply
        return reply._replace(
            differences=previewed.differences, strains=previewed.strains
        )


class ChangeResource:
    """``GET /v1/changes/{change_id}``: state of a change."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, change_id: str
    ) -> None:
        """Responds with the state of a change, and its version if accepted."""
        result = self.driver.propose(ChangeStatusRequested(0, change_id))
        write_reply(resp, change_reply(result, change_id))


class VersionsResource:
    """``GET /v1/versions``: the latest changes, oldest first."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the latest changes in force on this host."""
        changes = self.driver.host.configuration.changes
        latest = sorted(changes)[-MAX_LISTED_VERSIONS:]
        media.respond(resp, tuple(changes[version] for version in latest))


def write_reply(resp: falcon.Response, reply: ChangeReply) -> None:
    """Writes the reply to a change as an HTTP response."""
    media.respond(resp, reply, STATUS_BY_STATE[reply.state])


def change_reply(result: ProposalEnded, change_id: str) -> ChangeReply:
    """Converts the result of a proposal to the reply for operators."""
    return ChangeReply(
        ChangeState(str(result.state)),
        change_id,
        result.version,
        findings=result.findings,
        winner=result.winner,
    )


def _previewed_reply(
    state: ChangeState,
    request: ChangeRequest,
    previewed: Preview,
    findings: tuple = (),
) -> ChangeReply:
    return ChangeReply(
        state,
        request.change_id,
        previewed.version,
        findings=findings,
        differences=previewed.differences,
        strains=previewed.strains,
    )
