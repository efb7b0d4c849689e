"""Resource for latency histograms."""

import falcon

from sardinewheel_entry.driver import Driver


class HistogramsResource:
    """``GET /v1/histograms``: latency by service, kind and weight."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with every histogram of this host."""
        resp.media = {
            "histograms": self.driver.metrics.report(),
            "reasons": self.driver.metrics.reasons,
        }
