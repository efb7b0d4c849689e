"""Reads the settings of a deployment and moves it to free local ports."""

import json
import os
import re
import socket
from pathlib import Path
from typing import NamedTuple

from sardinewheel_cli import parser, script
from sardinewheel_core.change import Change, apply_change
from sardinewheel_core.intent import Intent

ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
INTENT_FILE = "intent.sardinewheel"
STAND_INS_FILE = "stand-ins.json"
PORT_STEP = 500
PORT_STEPS = 20
FIRST_EXTRA_PORT = 200
MAX_EXTRA_PORTS = 250


class PlacedTarget(NamedTuple):
    """A target of a deployment, with its failure domain and region."""

    name: str
    service: str
    domain: str
    region: str
    address: str
    slots: int


class Deployment(NamedTuple):
    """A deployment as described by a folder under ``settings/``.

    Attributes:
        name: Name of the folder.
        entry_hosts: Settings of each entry host.
        script: Operator commands that define the intent.
        intent: The intent that the script defines.
        stand_ins: Parameters of the simulated targets and callers.
        extra_addresses: Free addresses for processes that the folder does not
            configure, such as control endpoints.
    """

    name: str
    entry_hosts: list[dict]
    script: str
    intent: Intent
    stand_ins: dict
    extra_addresses: list[str]

    @classmethod
    def from_folder(cls, folder: Path) -> "Deployment":
        """Reads a deployment and replaces its ports by free ones.

        Raises:
            OSError: A file is missing, or no range of ports is free.
        """
        texts = {
            p: p.read_text(encoding="utf-8") for p in _settings_files(folder)
        }
        ports = {int(p) for t in texts.values() for p in ADDRESS.findall(t)}
        first = min(ports) + FIRST_EXTRA_PORT
        extra = range(first, first + MAX_EXTRA_PORTS)
        offset = _free_offset(ports | set(extra))
        moved = {p.name: _with_port_offset(t, offset) for p, t in texts.items()}
        intent_script = moved.pop(INTENT_FILE)
        plain = {name: json.loads(text) for name, text in moved.items()}
        stand_ins = plain.pop(STAND_INS_FILE)
        return cls(
            folder.name,
            list(plain.values()),
            intent_script,
            parse_intent(intent_script),
            stand_ins,
            [f"127.0.0.1:{port + offset}" for port in extra],
        )

    @property
    def platform_address(self) -> str:
        """Address of the platform."""
        return self.entry_hosts[0]["platform_address"]

    @property
    def regions(self) -> list[str]:
        """Names of the regions, in the order of the intent."""
        return list(self.intent.regions)

    def targets(self) -> list[PlacedTarget]:
        """Returns every target."""
        return [
            PlacedTarget(
                target.name,
                service.name,
                target.domain,
                self.intent.region_of(target.domain),
                target.address,
                target.slots,
            )
            for service in self.intent.services.values()
            for target in service.targets.values()
        ]

    def hosts_of_region(self, region: str) -> list[dict]:
        """Returns the settings of a region's entry hosts."""
        return [
            host
            for host in self.entry_hosts
            if self.intent.region_of(host["domain"]) == region
        ]


def parse_intent(text: str) -> Intent:
    """Returns the intent that a script of definition commands results in."""
    commands = [parser.parse(command.text) for command in script.split(text)]
    operations = tuple(command.statement.operation for command in commands)
    return apply_change(
        Intent.empty(), Change(1, "definitions", "", operations)
    )


def _settings_files(folder: Path) -> list[Path]:
    hosts = sorted((folder / "entry-hosts").glob("*.json"))
    return [folder / INTENT_FILE, folder / STAND_INS_FILE, *hosts]


def _with_port_offset(text: str, offset: int) -> str:
    def add_offset(match: re.Match) -> str:
        return f"127.0.0.1:{int(match[1]) + offset}"

    return ADDRESS.sub(add_offset, text)


def _free_offset(ports: set[int]) -> int:
    """Returns an offset that moves every port to one that can be bound."""
    for step in range(PORT_STEPS):
        offset = (os.getpid() + step) % PORT_STEPS * PORT_STEP
        if all(_is_free(port + offset) for port in ports):
            return offset
    raise OSError(f"none of {PORT_STEPS} port ranges is entirely free")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
