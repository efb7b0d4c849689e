"""The WSGI application and its routes."""

import falcon
from sardinewheel_core.errors import RequestError

from sardinewheel_entry.api import operators
from sardinewheel_entry.api.control import ControlResource
from sardinewheel_entry.api.histograms import HistogramsResource
from sardinewheel_entry.api.lookups import LookupResource, LookupsResource
from sardinewheel_entry.api.outcomes import OutcomeResource
from sardinewheel_entry.api.request_headers import handle_request_error
from sardinewheel_entry.api.requests import RequestsResource
from sardinewheel_entry.driver import Driver


def create_app(driver: Driver) -> falcon.App:
    """Returns the WSGI application of an entry host."""
    app = falcon.App()
    app.add_error_handler(RequestError, handle_request_error)
    app.add_route("/v1/lookup", LookupResource(driver))
    app.add_route("/v1/lookups", LookupsResource(driver))
    app.add_route("/v1/requests/{request_id}", OutcomeResource(driver))
    app.add_route("/v1/histograms", HistogramsResource(driver))
    app.add_route("/v1/services/{service}/requests", RequestsResource(driver))
    app.add_route("/v1/control", ControlResource(driver))
    operators.add_routes(app, driver)
    return app
