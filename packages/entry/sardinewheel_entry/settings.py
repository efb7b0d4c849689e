"""Settings of an entry host, checked against their schema."""

import ipaddress
import json
import re
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple

import jsonschema
from sardinewheel_core.errors import Finding, SettingsError

SCHEMA_FILE = "settings.schema.json"
MAX_PORT = 65535
MAX_SHOWN_CHARS = 80
PATTERN = re.compile(r"[0-9a-fA-F.:]+:[0-9]{1,5}")


class Settings(NamedTuple):
    """Settings of an entry host; docs/SETTINGS.md describes each."""

    name: str
    domain: str
    http_address: str
    peer_address: str
    platform_address: str
    seeds: tuple[str, ...] = ()
    statsd_address: str = ""
    log_level: str = "info"

    @classmethod
    def from_file(cls, path: Path) -> "Settings":
        """Reads settings from a JSON file.

        Raises:
            SettingsError: The file cannot be read or does not satisfy the
                schema, with every finding.
        """
        plain = _read(path)
        findings = check(plain, place=str(path))
        if findings:
            raise SettingsError(findings)
        seeds = tuple(plain.pop("seeds", ()))
        return cls(**plain, seeds=seeds)


def schema() -> dict[str, Any]:
    """Returns the JSON schema of the settings."""
    file = resources.files(__package__).joinpath(SCHEMA_FILE)
    return json.loads(file.read_text(encoding="utf-8"))


def check(plain: Any, *, place: str) -> tuple[Finding, ...]:
    """Returns everything that is wrong with settings, each with its place."""
    validator = jsonschema.Draft202012Validator(schema())
    errors = sorted(validator.iter_errors(plain), key=lambda e: e.json_path)
    found = [
        Finding(
            f"{place}:{error.json_path}",
            _shown(error.instance),
            _expected(error),
        )
        for error in errors
    ]
    if isinstance(plain, dict):
        found += _address_findings(plain, place)
    return tuple(found)


def _read(path: Path) -> Any:
    try:
        return json.loads(
            path.read_text(encoding="utf-8"),
            parse_constant=_refuse_constant,
            object_pairs_hook=_without_duplicates,
        )
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(str(path), str(error), "a readable file of UTF-8")
        raise SettingsError((finding,)) from error
    except json.JSONDecodeError as error:
        place = f"{path}:{error.lineno}:{error.colno}"
        finding = Finding(place, error.msg, "valid JSON")
        raise SettingsError((finding,)) from error
    except (ValueError, RecursionError) as error:
        finding = Finding(str(path), str(error), "valid JSON")
        raise SettingsError((finding,)) from error


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    plain = dict(pairs)
    if len(plain) < len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({n for n in names if names.count(n) > 1})
        raise ValueError(f"given twice: {', '.join(twice)}")
    return plain


def _address_findings(plain: dict[str, Any], place: str) -> list[Finding]:
    """Returns addresses that fit the schema's pattern but cannot be used."""
    addresses = {
        f"$.{name}": value
        for name, value in plain.items()
        if name.endswith("_address")
    }
    seeds = plain.get("seeds")
    if isinstance(seeds, list):
        addresses |= {f"$.seeds[{i}]": seed for i, seed in enumerate(seeds)}
    found = []
    for where, value in addresses.items():
        is_formed = isinstance(value, str) and PATTERN.fullmatch(value)
        if is_formed and not _is_usable(value):
            expected = "an IP number and a port from 1 to 65535"
            found.append(Finding(f"{place}:{where}", value, expected))
    http, peer = plain.get("http_address"), plain.get("peer_address")
    if http is not None and http == peer:
        where = f"{place}:$.peer_address"
        expected = "an address other than http_address"
        found.append(Finding(where, _shown(peer), expected))
    return found


def _is_usable(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT


def _expected(error: jsonschema.ValidationError) -> str:
    """Returns what was expected, from the schema's own words if it can."""
    value = error.validator_value
    if error.validator == "required":
        missing = [n for n in value if n not in error.instance]
        return f"the settings {', '.join(missing)}"
    if error.validator == "additionalProperties":
        return f"only the settings {', '.join(sorted(schema()['properties']))}"
    if error.validator == "pattern" and "description" in error.schema:
        return error.schema["description"]
    if error.validator == "enum":
        return f"one of {', '.join(map(str, value))}"
    return f"{error.validator} {value!r}"[:MAX_SHOWN_CHARS]


def _shown(value: Any) -> str:
    return repr(value)[:MAX_SHOWN_CHARS]
