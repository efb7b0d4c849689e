"""Relays between the entry hosts of a house, one per domain and address."""

import json
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing.deployment import Deployment
from sardinewheel_testing.processes import http
from sardinewheel_testing.relays import RelaySettings, State

DOMAIN_DELAY_S = 0.0005
REGION_DELAY_S = 0.035
PLATFORM = "platform"


class Route(NamedTuple):
    """What one domain uses to reach one address.

    Attributes:
        source: Failure domain that uses it.
        destination: Failure domain of the address, or ``platform``.
        relay: Its relay.
    """

    source: str
    destination: str
    relay: RelaySettings


class Routes:
    """The network between the failure domains of a house.

    Attributes:
        control_address: Address that controls the relays.
        routes: All routes; none within a domain.
    """

    def __init__(self, control_address: str, routes: list[Route]):
        self.control_address = control_address
        self.routes = routes

    @classmethod
    def from_house(cls, house: Deployment) -> "Routes":
        """Makes a relay for each domain and each address outside it."""
        spare = iter(house.extra_addresses)
        control_address = next(spare)
        intent = house.intent
        ends = [(PLATFORM, house.platform_address)]
        for host in house.entry_hosts:
            ends.append((host["domain"], host["http_address"]))
            ends.append((host["domain"], host["peer_address"]))
        routes = []
        for source in sorted({h["domain"] for h in house.entry_hosts}):
            for destination, address in ends:
                if destination == source:
                    continue
                is_far = destination != PLATFORM and (
                    intent.region_of(source) != intent.region_of(destination)
                )
                relay = RelaySettings(
                    f"{source}>{address}",
                    next(spare),
                    address,
                    REGION_DELAY_S if is_far else DOMAIN_DELAY_S,
                )
                routes.append(Route(source, destination, relay))
        return cls(control_address, routes)

    def write_network(self, folder: Path) -> Path:
        """Writes the link stand-in's file."""
        path = folder / "network.json"
        relays = [route.relay._asdict() for route in self.routes]
        plain = {"control_address": self.control_address, "relays": relays}
        path.write_text(json.dumps(plain), encoding="utf-8")
        return path

    def write(self, settings: dict, *, folder: Path) -> Path:
        """Writes the file that maps addresses for one entry host."""
        path = folder / f"routes-{settings['domain']}.json"
        mapped = {
            route.relay.to: route.relay.listen
            for route in self.routes
            if route.source == settings["domain"]
        }
        path.write_text(json.dumps(mapped), encoding="utf-8")
        return path

    def cut_domain(self, domain: str) -> None:
        """Cuts a domain off from the others and from the platform."""
        self._set(State.CUT, domain)

    def mend_domain(self, domain: str) -> None:
        """Ends a cut."""
        self._set(State.OPEN, domain)

    def silence_domain(self, domain: str) -> None:
        """Makes a domain's open connections silent; new ones work."""
        self._set(State.SILENT, domain)

    def _set(self, state: State, domain: str) -> None:
        names = [
            route.relay.name
            for route in self.routes
            if domain in (route.source, route.destination)
        ]
        body = json.dumps({"relays": names, "state": state}).encode()
        http(
            "PUT",
            self.control_address,
            "/control",
            body=body,
            headers={"Content-Type": "application/json"},
        )
