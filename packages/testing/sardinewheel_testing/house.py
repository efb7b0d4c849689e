"""The settings of a house, with addresses that are free on this machine."""

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
BEHAVIOUR_FILE = "stand-ins.json"
PORT_STEP = 500
PORT_STEPS = 20
FIRST_EXTRA_PORT = 200
MAX_EXTRA_PORTS = 250


class TargetRow(NamedTuple):
    """A target of a house, with where it stands."""

    name: str
    service: str
    domain: str
    region: str
    address: str
    slots: int


class House(NamedTuple):
    """What a folder under ``settings/`` says.

    Attributes:
        name: Name of the folder.
        entry_hosts: Settings of each entry host.
        script: Commands that make the intent.
        intent: The intent that they make.
        stand_ins: How targets and callers behave.
        extra_addresses: Free addresses for what the folder does not name.
    """

    name: str
    entry_hosts: list[dict]
    script: str
    intent: Intent
    stand_ins: dict
    extra_addresses: list[str]

    @classmethod
    def from_folder(cls, folder: Path) -> "House":
        """Reads a house, moved to ports that are free.

        Raises:
            OSError: A file is missing, or no range of ports is free.
        """
        texts = {p: p.read_text(encoding="utf-8") for p in _files(folder)}
        ports = {int(p) for t in texts.values() for p in ADDRESS.findall(t)}
        first = min(ports) + FIRST_EXTRA_PORT
        extra = range(first, first + MAX_EXTRA_PORTS)
        offset = _free_offset(ports | set(extra))
        moved = {p.name: _moved(t, offset) for p, t in texts.items()}
        intent_script = moved.pop(INTENT_FILE)
        plain = {name: json.loads(text) for name, text in moved.items()}
        stand_ins = plain.pop(BEHAVIOUR_FILE)
        return cls(
            folder.name,
            list(plain.values()),
            intent_script,
            intent_of(intent_script),
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

    def targets(self) -> list[TargetRow]:
        """Returns every target."""
        return [
            TargetRow(
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


def intent_of(text: str) -> Intent:
    """Returns the intent that a script of definitions makes."""
    commands = [parser.parse(command.text) for command in script.split(text)]
    operations = tuple(command.statement.operation for command in commands)
    return apply_change(Intent.empty(), Change(1, "house", "", operations))


def _files(folder: Path) -> list[Path]:
    hosts = sorted((folder / "entry-hosts").glob("*.json"))
    return [folder / INTENT_FILE, folder / BEHAVIOUR_FILE, *hosts]


def _moved(text: str, offset: int) -> str:
    def move(match: re.Match) -> str:
        return f"127.0.0.1:{int(match[1]) + offset}"

    return ADDRESS.sub(move, text)


def _free_offset(ports: set[int]) -> int:
    """Returns what to add to the ports so that nobody listens on them."""
    for step in range(PORT_STEPS):
        offset = (os.getpid() + step) % PORT_STEPS * PORT_STEP
        if all(_is_free(port + offset) for port in ports):
            return offset
    raise OSError("no range of ports is free")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
