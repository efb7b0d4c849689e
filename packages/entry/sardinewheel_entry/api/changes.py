"""What became of a change, by its id."""

import falcon
from sardinewheel_core.codec import to_plain
from sardinewheel_core.effects import ChangeAsked

from sardinewheel_entry.driver import Driver


class ChangeResource:
    """``GET /v1/changes/{change_id}``: what became of a change."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, change_id: str
    ) -> None:
        """Answers accepted with the version, absent, or unknown."""
        ended = self.driver.propose(ChangeAsked(0, change_id))
        resp.media = to_plain(ended)
