"""Resources for operators, and their routes."""

import time

import falcon
from sardinewheel_core import views
from sardinewheel_core.codec import to_plain
from sardinewheel_core.errors import Finding, RequestError
from sardinewheel_core.messages import Phase

from sardinewheel_entry.api import media
from sardinewheel_entry.api.changes import (
    ChangeResource,
    ChangesResource,
    VersionsResource,
)
from sardinewheel_entry.driver import Driver


def add_routes(app: falcon.App, driver: Driver) -> None:
    """Adds the operators' routes to an application."""
    app.add_route("/v1/changes", ChangesResource(driver))
    app.add_route("/v1/changes/{change_id}", ChangeResource(driver))
    app.add_route("/v1/versions", VersionsResource(driver))
    app.add_route("/v1/status", StatusResource(driver))
    app.add_route("/v1/view", ViewResource(driver))
    app.add_route("/v1/hosts", HostsResource(driver))
    app.add_route("/v1/headroom", HeadroomResource(driver))
    app.add_route("/v1/drains", DrainsResource(driver))
    app.add_route("/v1/traffic", TrafficResource(driver))
    app.add_route("/v1/explain", ExplainResource(driver))
    app.add_route("/v1/repairs", RepairsResource(driver))


class StatusResource:
    """``GET /v1/status``: intent in force on this host, and live hosts."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the phase, intent and live hosts of this host."""
        host = self.driver.host
        now = time.monotonic()
        resp.media = {
            "name": host.identity.name,
            "phase": str(host.phase),
            "ready": host.phase is Phase.READY,
            "intent": to_plain(host.configuration.intent),
            "hosts": [to_plain(s) for s in host.membership.alive(now)],
        }


class ViewResource:
    """``GET /v1/view``: configuration and hosts known to this host."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the view of this host."""
        media.respond(resp, views.view(self.driver.host, time.monotonic()))


class HostsResource:
    """``GET /v1/hosts``: each entry host, with version and age."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with all hosts known to this host, including itself."""
        media.respond(
            resp, views.host_views(self.driver.host, time.monotonic())
        )


class HeadroomResource:
    """``GET /v1/headroom``: free capacity known to this host."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with caps, shares and usage."""
        media.respond(resp, views.headroom(self.driver.host, time.monotonic()))


class DrainsResource:
    """``GET /v1/drains``: progress of drains on this host."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the drains that involve this host."""
        host = self.driver.host
        media.respond(resp, views.drains_view(host, time.monotonic()))


class TrafficResource:
    """``GET /v1/traffic``: counts of the traffic through this host."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the recent and total counts."""
        name = self.driver.host.identity.name
        media.respond(resp, self.driver.traffic.view(time.monotonic(), name))


class ExplainResource:
    """``GET /v1/explain?about=...``: decisions that involve a name or id."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the decisions, oldest first."""
        about = req.get_param("about", default="")
        if not about:
            finding = Finding("about", "nothing", "a name or a request id")
            raise RequestError((finding,))
        host = self.driver.host
        media.respond(
            resp, views.decisions_about(host, time.monotonic(), about)
        )


class RepairsResource:
    """``GET /v1/repairs``: repairs that this host made."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the latest repairs, oldest first."""
        media.respond(resp, views.repairs(self.driver.host, time.monotonic()))
