"""A request as the placer sees it."""

import math
from typing import NamedTuple

from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.routes import Route, common_homes


class PlacementRequest(NamedTuple):
    """Properties of a request that determine its target.

    Attributes:
        service: Service that executes the request.
        route: Route of the request.
        object_key: Key of the object that the request concerns, or an empty
            string.
        is_urgent: Whether its priority is higher than the lowest priority
            among the routes of its service.
        tried: Ids of targets that were already tried, also unreachable ones.
        account: The caller's account, if any.
        deadline: Time at which the caller stops waiting, on the monotonic
            clock.
    """

    service: str
    route: Route
    object_key: str
    is_urgent: bool
    tried: frozenset[str] = frozenset()
    account: Account | None = None
    deadline: float = math.inf

    @property
    def home_regions(self) -> frozenset[str]:
        """Regions that may execute it; empty for all."""
        return common_homes(self.route, self.account)
