"""All that operators and targets said, as one host passes it to another.

A host that is cut off from the store learns it from another host. Positions
in the store's history say whose snapshot is newer.
"""

from typing import Any, NamedTuple

from sardinewheel_gateway.policy.routes import (
    Configuration,
    Limits,
    Route,
    Service,
    Share,
)
from sardinewheel_gateway.policy.targets import TargetRecord

NOTHING_KNOWN = -1


class Positions(NamedTuple):
    """How far into the store's history a host has heard.

    Attributes:
        operators: Position of what operators wrote.
        targets: Position of what targets wrote.
    """

    operators: int = NOTHING_KNOWN
    targets: int = NOTHING_KNOWN


class Snapshot(NamedTuple):
    """What a host knows of the store's content.

    Attributes:
        positions: How far it has heard.
        configuration: The configuration in force, if any.
        evacuated: Failure domains whose targets get nothing.
        records: What each target says of itself.
    """

    positions: Positions
    configuration: Configuration | None
    evacuated: frozenset[str]
    records: tuple[TargetRecord, ...]


def to_plain(snapshot: Snapshot) -> list[Any]:
    """Returns a snapshot as lists, for a codec."""
    configuration = snapshot.configuration
    return [
        list(snapshot.positions),
        None if configuration is None else _plain(configuration),
        sorted(snapshot.evacuated),
        [list(record) for record in snapshot.records],
    ]


def _plain(configuration: Configuration) -> list[Any]:
    return [
        configuration.version,
        [
            [
                *route._replace(
                    shares=tuple(list(s) for s in route.shares),
                    home_regions=sorted(route.home_regions),
                )
            ]
            for route in configuration.routes
        ],
        [list(service) for service in configuration.services.values()],
        list(configuration.limits),
    ]


def from_plain(plain: list[Any]) -> Snapshot:
    """Returns the snapshot of lists.

    Raises:
        ValueError: The lists hold no snapshot.
    """
    try:
        positions, configuration, evacuated, records = plain
        return Snapshot(
            Positions(*positions),
            None if configuration is None else _configuration(configuration),
            frozenset(evacuated),
            tuple(TargetRecord(*record) for record in records),
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"no snapshot: {error}") from error


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
