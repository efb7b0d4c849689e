"""Updates from operators and targets, received from the store or a host.

Positions number the changes in the store. An update of targets names the
positions before and after it, so a host detects that it missed an update.
"""

from typing import Any, NamedTuple

from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.objects import ObjectUse
from sardinewheel_gateway.policy.routes import (
    Configuration,
    Limits,
    Route,
    Service,
    Share,
    check_configuration,
)
from sardinewheel_gateway.policy.targets import TargetRecord, check_record
from sardinewheel_gateway.policy.values import check_identifier, check_text
from sardinewheel_gateway.policy.wire import from_fields

NO_POSITION = -1


class Positions(NamedTuple):
    """Latest positions in the store that a host has applied.

    Attributes:
        operators: Position of the operators' changes.
        targets: Position of the targets' changes.
    """

    operators: int = NO_POSITION
    targets: int = NO_POSITION


class OperatorsUpdate(NamedTuple):
    """Changes made by operators.

    Attributes:
        after: Position after the update.
        configuration: The configuration, or ``None`` if it is unchanged.
        evacuated: All failure domains whose targets receive no requests.
        version: Version of an unchanged configuration at the sender; a host
            with an older version has missed an update.
    """

    after: int
    configuration: Configuration | None
    evacuated: frozenset[str]
    version: int = 0


class RecordChange(NamedTuple):
    """The latest change of one target's record.

    Attributes:
        target_id: Id of the target.
        position: Position of the change.
        record: The record; ``None`` if it was deleted or is invalid.
    """

    target_id: str
    position: int
    record: TargetRecord | None


class TargetsUpdate(NamedTuple):
    """Changes of target records.

    Attributes:
        before: Position before the update; ``NO_POSITION`` if it holds the
            records of all targets.
        after: Position after the update.
        changes: One change for each target whose record changed.
        away_s: Duration in seconds of an outage of the store just before the
            update; records may have expired during it.
    """

    before: int
    after: int
    changes: tuple[RecordChange, ...]
    away_s: float = 0.0

    @property
    def is_snapshot(self) -> bool:
        """Whether the update holds the records of all targets."""
        return self.before == NO_POSITION


class Update(NamedTuple):
    """Changes by operators, by targets, or by both.

    Attributes:
        operators: Changes made by operators, if any.
        targets: Changes of target records, if any.
        objects: Known uses of objects, for a host that has no data yet.
    """

    operators: OperatorsUpdate | None = None
    targets: TargetsUpdate | None = None
    objects: tuple[ObjectUse, ...] = ()


def to_plain(update: Update) -> list[Any]:
    """Returns an update as nested lists, for serialization."""
    return [
        _plain_operators(update.operators),
        _plain_targets(update.targets),
        [list(use) for use in update.objects],
    ]


def from_plain(plain: list[Any]) -> Update:
    """Returns the update encoded by ``to_plain``.

    Raises:
        ValueError: The lists do not encode an update.
    """
    try:
        operators, targets, objects, *_ = plain
        uses = tuple(from_fields(ObjectUse, use) for use in objects)
        return Update(_operators(operators), _targets(targets), uses)
    except (TypeError, AttributeError) as error:
        raise ValueError(f"invalid update: {error}") from error


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
    plain = [
        configuration.version,
        [_plain_route(route) for route in configuration.routes],
        [list(service) for service in configuration.services.values()],
        list(configuration.limits),
    ]
    # Hosts of versions without accounts read four elements.
    if configuration.accounts:
        plain.append([_plain_account(x) for x in configuration.accounts])
    return plain


def _plain_account(account: Account) -> list[Any]:
    homes = sorted(account.home_regions)
    return list(account._replace(home_regions=homes))


def _plain_route(route: Route) -> list[Any]:
    shares = tuple(list(share) for share in route.shares)
    homes = sorted(route.home_regions)
    plain = list(route._replace(shares=shares, home_regions=homes))
    # Hosts of versions without accounts do not read the last field.
    return plain if route.is_open else plain[:-1]


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
    update = from_fields(OperatorsUpdate, plain)
    evacuated = (check_text(x, "domain") for x in update.evacuated)
    if update.configuration is not None:
        typed = _configuration(update.configuration)
        update = update._replace(configuration=typed)
    return update._replace(evacuated=frozenset(evacuated))


def _configuration(plain: list[Any]) -> Configuration:
    version, routes, services, limits, *more = plain
    typed = [from_fields(Service, service) for service in services]
    configuration = Configuration(
        version,
        tuple(_route(route) for route in routes),
        {service.name: service for service in typed},
        from_fields(Limits, limits),
        tuple(_account(account) for account in (more[0] if more else ())),
    )
    return check_configuration(configuration)


def _account(plain: list[Any]) -> Account:
    account = from_fields(Account, plain)
    return account._replace(
        key_digests=tuple(account.key_digests),
        home_regions=frozenset(account.home_regions),
    )


def _route(plain: list[Any]) -> Route:
    route = from_fields(Route, plain)
    return route._replace(
        shares=tuple(from_fields(Share, share) for share in route.shares),
        home_regions=frozenset(route.home_regions),
    )


def _targets(plain: list[Any] | None) -> TargetsUpdate | None:
    if plain is None:
        return None
    update = from_fields(TargetsUpdate, plain)
    changes = (_change(change) for change in update.changes)
    return update._replace(changes=tuple(x for x in changes if x is not None))


def _change(plain: list[Any]) -> RecordChange | None:
    """Returns a change; None if it names no target."""
    try:
        change = from_fields(RecordChange, plain)
        check_identifier(change.target_id, "id")
    except ValueError:
        return None
    if change.record is None:
        return change
    return change._replace(record=_record(change.record))


def _record(plain: Any) -> TargetRecord | None:
    """Returns a record; None if it is invalid, as with one of the store.

    The other changes of the update would otherwise be lost with it.
    """
    try:
        return check_record(from_fields(TargetRecord, plain))
    except ValueError:
        return None
