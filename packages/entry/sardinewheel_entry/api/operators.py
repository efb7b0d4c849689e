"""What operators ask and change, through any entry host."""

import time
import uuid

import falcon
from sardinewheel_core.change import Operation
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.effects import ChangeProposed, ProposalState
from sardinewheel_core.errors import MessageError
from sardinewheel_core.messages import Phase

from sardinewheel_entry.driver import Driver


class ChangesResource:
    """``POST /v1/changes``: change the intent."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Proposes a change and says how that ended."""
        plain = req.get_media()
        try:
            operations = tuple(
                from_plain(item, Operation, f"operations[{index}]")
                for index, item in enumerate(plain["operations"])
            )
        except MessageError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        ended = self.driver.propose(
            ChangeProposed(
                0,
                plain.get("change_id") or str(uuid.uuid4()),
                plain.get("author", ""),
                plain.get("base_version", 0),
                operations,
            )
        )
        resp.media = to_plain(ended)
        if ended.state is not ProposalState.ACCEPTED:
            resp.status = falcon.HTTP_409


class StatusResource:
    """``GET /v1/status``: what is in force on this host and who it sees."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with this host's view."""
        host = self.driver.host
        now = time.monotonic()
        resp.media = {
            "name": host.identity.name,
            "phase": str(host.phase),
            "ready": host.phase is Phase.READY,
            "intent": to_plain(host.configuration.intent),
            "hosts": [to_plain(s) for s in host.membership.alive(now)],
        }
