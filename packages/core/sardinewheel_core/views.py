"""Read-only views of an entry host's state for operators."""

from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core import drains
from sardinewheel_core.decisions import Decision
from sardinewheel_core.drains import DrainProgress
from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import HostState
from sardinewheel_core.preview import RegionUse, ServiceUse, Usage
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_DECISIONS_SHOWN = 200


class HostView(NamedTuple):
    """State of an entry host as last received by another entry host.

    Attributes:
        name: Seat that it occupies.
        incarnation: Start time of its process, in nanoseconds.
        domain: Failure domain of the host.
        http_address: ``host:port`` of its HTTP interface.
        phase: Last reported phase.
        version: Last reported configuration version.
        age_s: Seconds since the last report.
        alive: Whether the last report is recent enough to count as live.
    """

    name: str
    incarnation: int
    domain: str
    http_address: str
    phase: str
    version: int
    age_s: float
    alive: bool


class View(NamedTuple):
    """Configuration and membership as known to one entry host.

    Attributes:
        host: Name of the host.
        phase: Phase of the host.
        version: Configuration version in force on the host.
        intent: Intent in force on the host.
        hosts: All hosts that it has received state of, including itself.
        unseen: Seats of the intent that have no live host according to its
            membership.
    """

    host: str
    phase: str
    version: int
    intent: Intent
    hosts: tuple[HostView, ...]
    unseen: tuple[str, ...]


class TargetUse(NamedTuple):
    """Utilization of a target by the entry host that dispatches to it.

    Attributes:
        name: Name of the target.
        service: Service of the target.
        slots: Configured number of requests that it executes concurrently.
        limit: Maximum requests that the host may have in flight there now.
        in_flight: Requests that the host has in flight there.
        leaving: Whether the target is being drained.
    """

    name: str
    service: str
    slots: int
    limit: int
    in_flight: int
    leaving: bool


class ServiceLoad(NamedTuple):
    """Capacity and load of a service on one entry host.

    Attributes:
        service: Name of the service.
        slots: Total slots of the targets that the host dispatches to, without
            those that are leaving.
        free: Number of requests that can be dispatched now.
        in_flight: Requests in flight at the targets of the host.
        waiting: Requests queued on the host.
    """

    service: str
    slots: int
    free: int
    in_flight: int
    waiting: int


class HeadroomView(NamedTuple):
    """Free capacity as known to one entry host.

    Attributes:
        host: Name of the host.
        region: Region of the host, or empty if none is configured.
        version: Configuration version in force on the host.
        cap: Cap of the region, in weight units in flight.
        share: Weight units of the cap assigned to the host's seat.
        limit: Weight units that it may have in flight now, loans included.
        in_flight: Weight units that it has in flight.
        services: Capacity and load by service.
        targets: Utilization of the targets that the host dispatches to.
    """

    host: str
    region: str
    version: int
    cap: int
    share: int
    limit: int
    in_flight: int
    services: tuple[ServiceLoad, ...]
    targets: tuple[TargetUse, ...]


class DecisionView(NamedTuple):
    """A logged decision of a host.

    Attributes:
        age_s: Seconds since the decision.
        event: Name of the decision's event.
        version: Configuration version in force at the time.
        fields: Values that the decision was based on, as pairs of name and
            value.
    """

    age_s: float
    event: str
    version: int
    fields: tuple[tuple[str, str | int | float], ...]


class DecisionsView(NamedTuple):
    """Logged decisions of one host, oldest first."""

    host: str
    version: int
    decisions: tuple[DecisionView, ...]


def view(host: "EntryHost", now: float) -> View:
    """Returns the configuration and membership known to a host."""
    hosts = host_views(host, now)
    live = {h.name for h in hosts if h.alive}
    intent = host.configuration.intent
    return View(
        host=host.identity.name,
        phase=str(host.phase),
        version=intent.version,
        intent=intent,
        hosts=hosts,
        unseen=tuple(sorted(set(intent.seats) - live)),
    )


def host_views(host: "EntryHost", now: float) -> tuple[HostView, ...]:
    """Returns all hosts known to a host, including itself, ordered by name."""
    membership = host.membership
    own = membership.own._replace(version=host.configuration.version)
    views = [_host_view(own, age_s=0.0, alive=True)]
    for name, state in membership.states.items():
        age_s = now - membership.last_heartbeat_at[name]
        alive = membership.is_alive(now, name)
        views.append(_host_view(state, age_s=age_s, alive=alive))
    return tuple(sorted(views))


def _host_view(state: HostState, *, age_s: float, alive: bool) -> HostView:
    return HostView(
        name=state.name,
        incarnation=state.incarnation,
        domain=state.domain,
        http_address=state.http_address,
        phase=str(state.phase),
        version=state.version,
        age_s=round(age_s, 3),
        alive=alive,
    )


class DrainsView(NamedTuple):
    """Drains that involve one host."""

    host: str
    version: int
    drains: tuple[DrainProgress, ...]


def headroom(host: "EntryHost", now: float) -> HeadroomView:
    """Returns the free capacity known to a host."""
    intent = host.configuration.intent
    region = host.region
    return HeadroomView(
        host=host.identity.name,
        region=region or "",
        version=intent.version,
        cap=intent.regions[region].cap if region else 0,
        share=host.allowance.share,
        limit=host.allowance.limit(now),
        in_flight=host.allowance.in_flight,
        services=tuple(
            _service_load(host, now, service) for service in intent.services
        ),
        targets=tuple(
            _target_use(state, now) for state in host.targets.states.values()
        ),
    )


def drains_view(host: "EntryHost", now: float) -> DrainsView:
    """Returns the progress of drains on a host."""
    progress = drains.progress(host, now)
    version = host.configuration.version
    return DrainsView(host.identity.name, version, tuple(progress))


def usage(host: "EntryHost") -> Usage:
    """Returns the usage of this host alone."""
    region = host.region
    regions = ()
    if region is not None:
        regions = (RegionUse(region, host.allowance.in_flight),)
    services = (
        ServiceUse(name, _in_flight(host, name))
        for name in host.configuration.intent.services
    )
    return Usage(regions, tuple(services))


def decisions_about(host: "EntryHost", now: float, name: str) -> DecisionsView:
    """Returns the latest decisions that mention a name.

    For the name of the host itself, returns its latest decisions except those
    about single requests.
    """
    found = host.decisions.about(name)
    if name == host.identity.name:
        found = list(host.decisions.decisions)
    return _decisions(host, now, found)


def repairs(host: "EntryHost", now: float) -> DecisionsView:
    """Returns the latest repair decisions of a host."""
    return _decisions(host, now, host.decisions.repairs())


def _decisions(
    host: "EntryHost", now: float, decisions: list[Decision]
) -> DecisionsView:
    views = (
        DecisionView(round(now - d.at, 3), d.event, d.version, d.fields)
        for d in decisions[-MAX_DECISIONS_SHOWN:]
    )
    return DecisionsView(
        host.identity.name, host.configuration.version, tuple(views)
    )


def _service_load(host: "EntryHost", now: float, service: str) -> ServiceLoad:
    states = host.targets.of_service(service)
    return ServiceLoad(
        service=service,
        slots=sum(s.target.slots for s in states if not s.leaving),
        free=host.targets.free_slots(service, now),
        in_flight=sum(s.in_flight for s in states),
        waiting=len(host.queue(service)),
    )


def _in_flight(host: "EntryHost", service: str) -> int:
    return sum(s.in_flight for s in host.targets.of_service(service))


def _target_use(state: TargetState, now: float) -> TargetUse:
    return TargetUse(
        name=state.target.name,
        service=state.service,
        slots=state.target.slots,
        limit=state.effective_limit(now),
        in_flight=state.in_flight,
        leaving=state.leaving,
    )
