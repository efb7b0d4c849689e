"""News of operators and targets, as the store or another host tells it.

Positions count the store's history. An update says from which position it
leads to which one, so a host that missed something notices.
"""

from typing import Any, NamedTuple

from sardinewheel_gateway.policy.objects import ObjectUse
from sardinewheel_gateway.policy.routes import (
    Configuration,
    Limits,
    Route,
    Service,
    Share,
)
from sardinewheel_gateway.policy.targets import TargetRecord

NO_POSITION = -1


class Positions(NamedTuple):
    """How far into the store's history a host has heard.

    Attributes:
        operators: Position of what operators wrote.
        targets: Position of what targets wrote.
    """

    operators: int = NO_POSITION
    targets: int = NO_POSITION


class OperatorsUpdate(NamedTuple):
    """What operators want, as far as it changed.

    Attributes:
        after: Position that it leads to.
        configuration: The configuration, unless it is unchanged.
        evacuated: All failure domains whose targets get nothing.
        version: Version of the configuration in force there, where it is
            unchanged; a host that has an older one has missed it.
    """

    after: int
    configuration: Configuration | None
    evacuated: frozenset[str]
    version: int = 0


class RecordChange(NamedTuple):
    """What one target wrote.

    Attributes:
        target_id: The target.
        position: Position of the change.
        record: Its record; nothing if it was dropped or can't be used.
    """

    target_id: str
    position: int
    record: TargetRecord | None


class TargetsUpdate(NamedTuple):
    """What targets wrote.

    Attributes:
        before: Position that it begins at; ``NO_POSITION`` if it holds the
            records of all targets.
        after: Position that it leads to.
        changes: One change for each target that wrote.
        away_s: Seconds for which the store was away just before; records may
            have lapsed meanwhile.
    """

    before: int
    after: int
    changes: tuple[RecordChange, ...]
    away_s: float = 0.0

    @property
    def is_snapshot(self) -> bool:
        """Whether targets that it doesn't name have no record."""
        return self.before == NO_POSITION


class Update(NamedTuple):
    """News of either source, or of both.

    Attributes:
        operators: What operators want.
        targets: What targets wrote.
        objects: Objects, for a host that has heard nothing yet.
    """

    operators: OperatorsUpdate | None = None
    targets: TargetsUpdate | None = None
    objects: tuple[ObjectUse, ...] = ()


def to_plain(update: Update) -> list[Any]:
    """Returns an update as lists, for a codec."""
    return [
        _plain_operators(update.operators),
        _plain_targets(update.targets),
        [list(use) for use in update.objects],
    ]


def from_plain(plain: list[Any]) -> Update:
    """Returns the update of lists.

    Raises:
        ValueError: The lists hold no update.
    """
    try:
        operators, targets, objects = plain
        uses = tuple(ObjectUse(*use) for use in objects)
        return Update(_operators(operators), _targets(targets), uses)
    except (TypeError, AttributeError) as error:
        raise ValueError(f"no update: {error}") from error


def _plain_operators(update: OperatorsUpdate | None) -> list[Any] | None:
    if update is None:
        return None
    configuration = update.configuration
    return [
        update.after,
        None if configuration is None else _plain_config(configuration),
        sorted(update.evacuated),
        update.version,
    ]


def _plain_config(configuration: Configuration) -> list[Any]:
    return [
        configuration.version,
        [_plain_route(route) for route in configuration.routes],
        [list(service) for service in configuration.services.values()],
        list(configuration.limits),
    ]


def _plain_route(route: Route) -> list[Any]:
    shares = tuple(list(share) for share in route.shares)
    homes = sorted(route.home_regions)
    return list(route._replace(shares=shares, home_regions=homes))


def _plain_targets(update: TargetsUpdate | None) -> list[Any] | None:
    if update is None:
        return None
    changes = [
        [c.target_id, c.position, None if c.record is None else list(c.record)]
        for c in update.changes
    ]
    return [update.before, update.after, changes, update.away_s]


def _operators(plain: list[Any] | None) -> OperatorsUpdate | None:
    if plain is None:
        return None
    after, configuration, evacuated, version = plain
    typed = None if configuration is None else _configuration(configuration)
    return OperatorsUpdate(after, typed, frozenset(evacuated), version)


def _configuration(plain: list[Any]) -> Configuration:
    version, routes, services, limits = plain
    typed = [Service(*service) for service in services]
    return Configuration(
        version,
        tuple(_route(route) for route in routes),
        {service.name: service for service in typed},
        Limits(*limits),
    )


def _route(plain: list[Any]) -> Route:
    route = Route(*plain)
    return route._replace(
        shares=tuple(Share(*share) for share in route.shares),
        home_regions=frozenset(route.home_regions),
    )


def _targets(plain: list[Any] | None) -> TargetsUpdate | None:
    if plain is None:
        return None
    before, after, changes, away_s = plain
    typed = [
        RecordChange(
            target_id,
            position,
            None if record is None else TargetRecord(*record),
        )
        for target_id, position, record in changes
    ]
    return TargetsUpdate(before, after, tuple(typed), away_s)
