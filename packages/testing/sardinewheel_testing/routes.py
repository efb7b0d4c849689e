"""Relays between a deployment's entry hosts, one per domain and address."""

import json
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing.deployment import Deployment
from sardinewheel_testing.processes import http
from sardinewheel_testing.relays import RelaySettings, RelayState

DOMAIN_DELAY_S = 0.0005
REGION_DELAY_S = 0.035
PLATFORM = "platform"


class RelayRoute(NamedTuple):
    """Relay through which one failure domain reaches one address.

    Attributes:
        source: Failure domain that connects.
        destination: Failure domain of the address, or ``platform``.
        relay: Settings of the relay.
    """

    source: str
    destination: str
    relay: RelaySettings


class RelayRoutes:
    """Relayed network between the failure domains of a deployment.

    Attributes:
        control_address: Control address of the link stand-in.
        routes: All routes; connections within a domain are not relayed.
    """

    def __init__(self, control_address: str, routes: list[RelayRoute]):
        self.control_address = control_address
        self.routes = routes

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> "RelayRoutes":
        """Creates a relay for each domain and each address outside it."""
        free_addresses = iter(deployment.extra_addresses)
        control_address = next(free_addresses)
        intent = deployment.intent
        addresses = [(PLATFORM, deployment.platform_address)]
        for host in deployment.entry_hosts:
            addresses.append((host["domain"], host["http_address"]))
            addresses.append((host["domain"], host["peer_address"]))
        routes = []
        for source in sorted({h["domain"] for h in deployment.entry_hosts}):
            for destination, address in addresses:
                if destination == source:
                    continue
                crosses_regions = destination != PLATFORM and (
                    intent.region_of(source) != intent.region_of(destination)
                )
                relay = RelaySettings(
                    f"{source}>{address}",
                    next(free_addresses),
                    address,
                    REGION_DELAY_S if crosses_regions else DOMAIN_DELAY_S,
                )
                routes.append(RelayRoute(source, destination, relay))
        return cls(control_address, routes)

    def write_link_settings(self, folder: Path) -> Path:
        """Writes the settings file of the link stand-in; returns its path."""
        path = folder / "network.json"
        relays = [route.relay._asdict() for route in self.routes]
        link_settings = {
            "control_address": self.control_address,
            "relays": relays,
        }
        path.write_text(json.dumps(link_settings), encoding="utf-8")
        return path

    def write_routes(self, settings: dict, *, folder: Path) -> Path:
        """Writes the address map of one entry host; returns its path."""
        path = folder / f"routes-{settings['domain']}.json"
        mapped = {
            route.relay.to: route.relay.listen
            for route in self.routes
            if route.source == settings["domain"]
        }
        path.write_text(json.dumps(mapped), encoding="utf-8")
        return path

    def cut_domain(self, domain: str) -> None:
        """Disconnects a domain from other domains and from the platform."""
        self._set_state(RelayState.CUT, domain)

    def restore_domain(self, domain: str) -> None:
        """Opens all relays of a domain again."""
        self._set_state(RelayState.OPEN, domain)

    def silence_domain(self, domain: str) -> None:
        """Drops all bytes on a domain's open connections; new ones work."""
        self._set_state(RelayState.SILENT, domain)

    def _set_state(self, state: RelayState, domain: str) -> None:
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
