"""Sums the usage that the entry hosts report."""

from collections import Counter

from sardinewheel_core.preview import RegionUse, ServiceUse, Usage
from sardinewheel_core.views import HeadroomView


def sum_usage(views: list[HeadroomView]) -> Usage:
    """Returns the usage summed over all hosts that answered.

    The sums count no request twice, as only one host dispatches to a target.
    """
    regions: Counter[str] = Counter()
    services: Counter[str] = Counter()
    for view in views:
        if view.region:
            regions[view.region] += view.in_flight
        for load in view.services:
            services[load.service] += load.in_flight
    return Usage(
        tuple(RegionUse(*item) for item in sorted(regions.items())),
        tuple(ServiceUse(*item) for item in sorted(services.items())),
    )
