"""State for routing: configuration, targets and their load and health."""

import random
from typing import NamedTuple

from sardinewheel_gateway.policy.account_parts import WindowBound
from sardinewheel_gateway.policy.accounts import Account, AccountTable
from sardinewheel_gateway.policy.announcements import (
    Announcement,
    AnnouncementTable,
    Change,
    Report,
)
from sardinewheel_gateway.policy.cold_admission import ColdAdmission, ColdBound
from sardinewheel_gateway.policy.crash_suspects import CrashSuspects
from sardinewheel_gateway.policy.limit_admission import LimitAdmission
from sardinewheel_gateway.policy.loads import LoadTable, ReportedLoad
from sardinewheel_gateway.policy.placed import Placed
from sardinewheel_gateway.policy.placement import Placer
from sardinewheel_gateway.policy.retries import RetryBound, RetryBudget
from sardinewheel_gateway.policy.routes import (
    Configuration,
    Route,
    RouteTable,
    SplitChooser,
)
from sardinewheel_gateway.policy.targets import Target, TargetTable
from sardinewheel_gateway.policy.work_times import Work

# Part of a pause by which hosts extend it at random, so that they do not return
# to the target all at once.
PAUSE_SPREAD = 0.2


class Bounds(NamedTuple):
    """Bounds that apply to all hosts together.

    Attributes:
        retries: Retries of each service.
        cold: Requests to cold targets.
        accounts: Requests of limited client accounts.
    """

    retries: RetryBound
    cold: ColdBound
    accounts: WindowBound = WindowBound()


class TargetResponse(NamedTuple):
    """Metadata of a target's response.

    Attributes:
        was_executed: Whether the target may have executed the request.
        is_other_target: Whether a target other than the named one responded.
        load: Load that the target reported, if any.
        pause_s: Seconds for which the target wants no requests of this host.
    """

    was_executed: bool
    is_other_target: bool
    load: ReportedLoad | None
    pause_s: float = 0.0


class RoutingState:
    """State from which a host routes requests.

    Attributes:
        configuration: The configuration in force, if any is known.
        route_table: Routes of the configuration.
        account_table: Client accounts of the configuration.
        splits: Distributes the requests of a route among services.
        target_table: The targets.
        loads: Load and health of the targets.
        announcements: What the targets announce in their responses.
        limit_admission: Admission control for targets that name a limit.
        cold_admission: Admission control for cold targets.
        crash_suspects: Requests that were lost with their targets.
        budgets: Retry budgets by service.
        placer: Assigns requests to targets.
        lowest_priorities: Lowest priority (highest number) of the routes of
            each service.
        hosts: Number of hosts that share the bounds.
        rng: Source of the spread of pauses.
    """

    def __init__(
        self,
        *,
        host: str,
        domain: str,
        bounds: Bounds,
        regions: dict[str, str],
        rng: random.Random,
    ):
        self.bounds = bounds
        self.rng = rng
        self.configuration: Configuration | None = None
        self.route_table = RouteTable(())
        self.account_table = AccountTable()
        self.splits = SplitChooser()
        self.target_table = TargetTable()
        self.loads = LoadTable()
        self.announcements = AnnouncementTable()
        self.limit_admission = LimitAdmission(host, domain, regions)
        self.cold_admission = ColdAdmission(host, bounds.cold)
        self.crash_suspects = CrashSuspects()
        self.budgets: dict[str, RetryBudget] = {}
        self.lowest_priorities: dict[str, int] = {}
        self.hosts = 1
        self.placer = Placer(
            target_table=self.target_table,
            loads=self.loads,
            announcements=self.announcements,
            limit_admission=self.limit_admission,
            cold_admission=self.cold_admission,
            regions=regions,
            rng=rng,
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 without one."""
        return self.configuration.version if self.configuration else 0

    def configure(self, configuration: Configuration) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if configuration.version <= self.version:
            return False
        account_table = AccountTable(configuration.accounts)
        self.configuration = configuration
        self.account_table = account_table
        self.route_table = RouteTable(configuration.routes)
        self.splits.keep(configuration.routes)
        self.placer.room.is_dividing = bool(configuration.accounts)
        self.placer.objects.keep(route.name for route in configuration.routes)
        self.placer.room.work_times.keep(
            {route.name for route in configuration.routes}
        )
        for name, service in configuration.services.items():
            self.target_table.cold_periods_s[name] = service.cold_period_s
            self.placer.cold_rates[name] = service.cold_rate_per_s
        self._index_priorities(configuration)
        return True

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route of a request."""
        return self.route_table.find(host, path)

    def targets_of_services(self) -> list[Target]:
        """Returns the targets of the configured services, or all without one.

        Another writer's record may name a service that nobody configured.
        """
        targets = self.target_table.targets.values()
        if self.configuration is None:
            return list(targets)
        services = self.configuration.services
        return [x for x in targets if x.record.service in services]

    def choose_service(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        return self.splits.choose(route)

    def is_urgent(
        self, route: Route, service: str, account: Account | None = None
    ) -> bool:
        """Returns whether a service also gets requests of a lower priority.

        The priority of an account, if it has one, goes before the route's.
        """
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return priority < self.lowest_priorities.get(service, 0)

    def count_request(self, service: str, now: float) -> None:
        """Counts a request for the retry budget of a service."""
        self._budget(service).count_request(now)

    def withdraw_request(self, service: str) -> None:
        """Takes back the last count, as another host counts the request."""
        self._budget(service).withdraw_request()

    def try_acquire_retry(self, service: str, now: float) -> bool:
        """Returns whether a retry may be sent, and counts it if so."""
        return self._budget(service).try_acquire(now)

    def record_dispatch(self, target: Target, now: float) -> None:
        """Records that a request is sent to a target."""
        self.cold_admission.record_dispatch(target.record.target_id, now)
        self.loads.record_dispatch(target.record.target_id, now=now)

    def record_response(
        self,
        target: Target,
        response: TargetResponse,
        *,
        is_error: bool,
        now: float,
    ) -> None:
        """Updates load and health of a target from its response."""
        load = self.loads.of(target.record.target_id)
        if response.is_other_target:
            load.record_failure(now=now)
            return
        load.record_response(is_error=is_error, now=now)
        if response.load is not None:
            self.loads.record_load_report(
                target.record.target_id,
                response.load,
                now=now,
                was_executed=response.was_executed,
            )
            # The request that the response is for has left its slot.
            others = response.load.running + response.load.waiting - 1
            mean_load = self.placer.room.service_load(target.record.service)
            mean_load.record(
                max(0.0, others / max(1, target.record.slots)), now=now
            )
        if response.pause_s > 0.0:
            spread = 1.0 + PAUSE_SPREAD * self.rng.random()
            load.record_pause(response.pause_s * spread, now=now)

    def record_work(
        self, route: Route, placed: Placed, response_s: float
    ) -> None:
        """Records the response time of a request that was executed."""
        work = _work_at(placed, route)
        self.placer.room.record_response(work, placed, response_s)

    def expected_work_s(self, route: Route, service: str) -> float:
        """Returns the expected seconds of execution at a service."""
        work = Work(service, route.name, route.objective_s)
        return self.placer.room.work_times.of_route(work)

    def record_object(
        self, route: Route, placed: Placed, key: str, *, now: float
    ) -> None:
        """Records a request for an object that a target has executed."""
        self.placer.known_objects.record(
            placed.target.record.target_id, route.name, key, now=now
        )

    def record_late(
        self, route: Route, placed: Placed, waited_s: float
    ) -> None:
        """Records a request that got no response in its time."""
        work = _work_at(placed, route)
        self.placer.room.record_timeout(work, placed, waited_s)

    def record_announcement(
        self, target: Target, announcement: Announcement, *, now: float
    ) -> Change | None:
        """Records what a response announces; returns what changed."""
        known = self.target_table.targets.get(target.record.target_id)
        if announcement.is_leaving:
            self.target_table.mark_leaving(target.record)
        if known is not target:
            return None
        change = self.announcements.record(target.record, announcement, now=now)
        self._apply_announcement(target, announcement)
        return change

    def merge_announcement(
        self, report: Report, *, now: float
    ) -> Change | None:
        """Applies another host's report; returns what changed."""
        target = self.target_table.targets.get(report.target_id)
        record = None if target is None else target.record
        change = self.announcements.merge(report, record, now=now)
        if target is not None and change is not None:
            self._apply_announcement(target, change.after)
        return change

    def expire_announcements(self, *, now: float) -> list[str]:
        """Drops old announcements; returns the targets that had a limit."""
        expired = self.announcements.expire(now=now)
        for target_id in expired:
            self.limit_admission.forget(target_id)
        return expired

    def record_target_failure(self, target: Target, now: float) -> None:
        """Records that a target is unreachable or closed the connection."""
        self.loads.of(target.record.target_id).record_failure(now=now)

    def record_target_timeout(
        self, target: Target, sent_at: float, now: float
    ) -> bool:
        """Records a timeout; returns whether the target counts as down.

        A target that has responded to other requests since ``sent_at`` is
        slow, not down.
        """
        load = self.loads.of(target.record.target_id)
        if load.last_response_at >= sent_at:
            return False
        load.record_failure(now=now)
        return True

    def set_hosts(self, names: tuple[str, ...]) -> None:
        """Sets the hosts that share the bounds."""
        self.hosts = len(names)
        self.cold_admission.set_hosts(names)
        for budget in self.budgets.values():
            budget.hosts = self.hosts

    def forget_objects(self, target_id: str) -> None:
        """Drops the objects of a target that has become cold."""
        self.placer.known_objects.forget(target_id)

    def forget_target(self, target_id: str) -> None:
        """Drops the state of a target that has left or restarted."""
        self.loads.forget(target_id)
        self.forget_objects(target_id)
        self.announcements.forget(target_id)
        self.limit_admission.forget(target_id)
        self.cold_admission.forget(target_id)

    def _apply_announcement(
        self, target: Target, announcement: Announcement
    ) -> None:
        if announcement.limit_per_s is None:
            self.limit_admission.forget(target.record.target_id)
        if announcement.is_leaving:
            self.target_table.mark_leaving(target.record)

    def _budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(self.bounds.retries)
            budget.hosts = self.hosts
        return budget

    def _index_priorities(self, configuration: Configuration) -> None:
        self.lowest_priorities.clear()
        priorities = {account.priority for account in configuration.accounts}
        of_accounts = max(priorities - {None}, default=0)
        accounts_follow_routes = not priorities or None in priorities
        for route in configuration.routes:
            lowest = of_accounts
            if accounts_follow_routes or route.is_open:
                lowest = max(lowest, route.priority)
            for share in route.shares:
                known = self.lowest_priorities.get(share.service, 0)
                self.lowest_priorities[share.service] = max(known, lowest)


def _work_at(placed: Placed, route: Route) -> Work:
    """Returns the work of a route at the service of a target."""
    service = placed.target.record.service
    return Work(service, route.name, route.objective_s)
