"""Explains where a request would go now, without sending it.

The load: operators who ask a running host, also while it serves. The request is
placed by the code that places callers' requests, on a copy of the state which
that code changes: so no count, no order and no random number of the host
changes.
"""

import random
from typing import NamedTuple, TypedDict

from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.placed import Placed, Refused
from sardinewheel_gateway.policy.placement import Placer
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.routes import Route, common_homes
from sardinewheel_gateway.policy.routing_state import RoutingState

MAX_SHOWN_TARGETS = 20


class Question(NamedTuple):
    """A request to explain.

    Attributes:
        method: Method of the request.
        host: Value of its ``Host`` header.
        path: Its path.
        object_key: Key of the object that it concerns, or an empty string.
        account: Name of the caller's account, or an empty string.
        domain: The caller's failure domain, or an empty string.
    """

    method: str
    host: str
    path: str
    object_key: str = ""
    account: str = ""
    domain: str = ""


class WeighedTarget(TypedDict):
    """A target, and what counts for and against it.

    Attributes:
        target: Its id.
        domain: Its failure domain.
        slots: Its size.
        load: Estimated requests at it, divided by its slots.
        load_age_s: Seconds since it last reported its load.
        error_share: Share of errors among its responses.
        pause_s: Seconds for which it wants no requests of this host.
        limit_per_s: Requests per second that it accepts; 0 without a limit.
        is_cold: Whether it has started recently.
        failures: Consecutive connection failures.
        obstacle: Why it may not receive the request now; empty if it may.
    """

    target: str
    domain: str
    slots: int
    load: float
    load_age_s: float
    error_share: float
    pause_s: float
    limit_per_s: float
    is_cold: bool
    failures: int
    obstacle: str


class Explanation(TypedDict, total=False):
    """Where a request would go now, and why.

    Attributes:
        question: The request.
        version: Version of the configuration in force.
        route: Name of the route.
        home_regions: Regions that may execute the request; empty for all.
        shares: Weight of each service of the route.
        service: Service of the route's next request.
        account: Name of the account.
        account_limit_per_s: Requests per second that all hosts together admit
            of the account; 0 for no limit.
        account_burst: Requests beyond that rate after an idle time.
        is_urgent: Whether its service also gets requests of lower priority.
        targets: Targets in the order in which they are preferred, at most
            ``MAX_SHOWN_TARGETS``.
        usable_targets: Number of targets that may execute such requests.
        is_random: Whether the choice differs from request to request, as
            without an object.
        target: The target that the request would go to.
        choice: ``rank-0``, ``rank-1`` or ``spare``, as in the log.
        refusal: Why it would be refused.
        retry_after_s: Seconds after which the caller could retry.
        suspected_requests: Requests that were lost with their targets.
        refused_requests: Requests that are refused since they crash targets;
            these are told by their digests, so this one may be among them.
    """

    question: dict[str, str]
    version: int
    route: str
    home_regions: list[str]
    shares: dict[str, float]
    service: str
    account: str
    account_limit_per_s: float
    account_burst: float
    is_urgent: bool
    targets: list[WeighedTarget]
    usable_targets: int
    is_random: bool
    target: str
    choice: str
    refusal: str
    retry_after_s: float
    suspected_requests: int
    refused_requests: int


def explain(state: RoutingState, question: Question, now: float) -> Explanation:
    """Returns where a request would go now.

    Raises:
        ValueError: The failure domain is not known.
    """
    if question.domain and question.domain not in state.placer.regions:
        raise ValueError(f"failure domain {question.domain!r} is not known")
    found = Explanation(
        question=question._asdict(),
        version=state.version,
        suspected_requests=len(state.crash_suspects.runs),
        refused_requests=len(state.crash_suspects.refused),
    )
    if state.configuration is None:
        return found | Explanation(refusal="no-configuration")
    route = state.route(question.host, question.path)
    if route is None:
        return found | Explanation(refusal="no-route")
    found["route"] = route.name
    found["shares"] = {x.service: x.weight for x in route.shares}
    account = state.account_table.by_name.get(question.account)
    refusal = _account_refusal(state, question, route, account)
    if refusal:
        return found | Explanation(refusal=refusal)
    if account is not None:
        found["account"] = account.name
        found["account_limit_per_s"] = account.rate_per_s
        found["account_burst"] = account.burst
    return found | _explain_placement(state, question, route, account, now)


def _account_refusal(
    state: RoutingState,
    question: Question,
    route: Route,
    account: Account | None,
) -> str:
    """Returns why an account may not use a route, or an empty string."""
    if account is None and question.account:
        return "unknown-account"
    if account is None and state.account_table and not route.is_open:
        return "unknown-key"
    try:
        common_homes(route, account)
    except ValueError:
        return "no-common-home"
    return ""


def _explain_placement(
    state: RoutingState,
    question: Question,
    route: Route,
    account: Account | None,
    now: float,
) -> Explanation:
    service = state.splits.peek(route)
    request = PlacementRequest(
        service,
        route,
        question.object_key if route.has_affinity else "",
        state.is_urgent(route, service, account),
        account=account,
    )
    # The targets are weighed before the placement uses the copy.
    placer = state.placer.copy(service, random.Random())
    targets = weighed_targets(placer, request, now)
    return Explanation(
        service=service,
        home_regions=sorted(request.home_regions),
        is_urgent=request.is_urgent,
        usable_targets=len(targets),
        targets=targets[:MAX_SHOWN_TARGETS],
        is_random=not request.object_key,
    ) | _outcome(placer.place(request, now))


def _outcome(choice: Placed | Refused) -> Explanation:
    if isinstance(choice, Refused):
        return Explanation(
            refusal=choice.reason, retry_after_s=round(choice.retry_after_s, 3)
        )
    return Explanation(
        target=choice.target.record.target_id, choice=choice.choice
    )


def weighed_targets(
    placer: Placer, request: PlacementRequest, now: float
) -> list[WeighedTarget]:
    """Returns all usable targets, the preferred ones first.

    Without an object, those with the lowest load come first.
    """
    usable = placer.usable_targets(request)
    preferred = placer.preferred(request, usable) if request.object_key else []
    following = [*placer.order(request), *usable.ids]
    ids = dict.fromkeys([*preferred, *following])
    rows = [
        _weighed(placer, request, usable.by_id[x], rank, now)
        for rank, x in enumerate(ids)
        if x in usable.by_id
    ]
    if not request.object_key:
        rows.sort(key=lambda row: row["load"])
    return rows


def _weighed(
    placer: Placer, request: PlacementRequest, target, rank: int, now: float
) -> WeighedTarget:
    record = target.record
    load = placer.loads.of(record.target_id)
    placed = placer.placed(target, rank, now)
    return WeighedTarget(
        target=record.target_id,
        domain=record.domain,
        slots=record.slots,
        load=round(placed.load, 3),
        load_age_s=round(placed.load_age_s, 3),
        error_share=round(load.error_share, 3),
        pause_s=round(load.pause_left_s(now), 3),
        limit_per_s=0.0 if placed.limit is None else placed.limit.per_s,
        is_cold=target.is_cold(now),
        failures=load.failures,
        obstacle=placer.obstacle(target, request, rank, now),
    )
