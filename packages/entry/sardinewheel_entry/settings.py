"""Settings of an entry host, validated against a JSON schema."""

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
MAX_VALUE_CHARS = 80
ADDRESS_PATTERN = re.compile(r"[0-9a-fA-F.:]+:[0-9]{1,5}")


class Settings(NamedTuple):
    """Settings of an entry host; described in docs/SETTINGS.md."""

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
                schema; lists every finding.
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
    """Returns every error in the settings.

    Args:
        plain: Settings as parsed from JSON.
        place: File name, used as prefix of the place of each finding.
    """
    validator = jsonschema.Draft202012Validator(schema())
    errors = sorted(validator.iter_errors(plain), key=lambda e: e.json_path)
    found = [
        Finding(
            f"{place}:{error.json_path}",
            _shorten(error.instance),
            _describe_expected(error),
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
            parse_constant=_reject_constant,
            object_pairs_hook=_reject_duplicate_keys,
        )
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(str(path), str(error), "a readable UTF-8 file")
        raise SettingsError((finding,)) from error
    except json.JSONDecodeError as error:
        place = f"{path}:{error.lineno}:{error.colno}"
        finding = Finding(place, error.msg, "valid JSON")
        raise SettingsError((finding,)) from error
    except (ValueError, RecursionError) as error:
        finding = Finding(str(path), str(error), "valid JSON")
        raise SettingsError((finding,)) from error


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not valid JSON")


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    plain = dict(pairs)
    if len(plain) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({n for n in names if names.count(n) > 1})
        raise ValueError(f"duplicate keys: {', '.join(duplicates)}")
    return plain


def _address_findings(plain: dict[str, Any], place: str) -> list[Finding]:
    """Returns findings about addresses that the schema cannot check."""
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
        is_well_formed = isinstance(value, str) and ADDRESS_PATTERN.fullmatch(
            value
        )
        if is_well_formed and not _is_valid_address(value):
            expected = "an IP address and a port from 1 to 65535"
            found.append(Finding(f"{place}:{where}", value, expected))
    http, peer = plain.get("http_address"), plain.get("peer_address")
    if http is not None and http == peer:
        where = f"{place}:$.peer_address"
        expected = "an address different from http_address"
        found.append(Finding(where, _shorten(peer), expected))
    return found


def _is_valid_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT


def _describe_expected(error: jsonschema.ValidationError) -> str:
    """Describes the expected value, from the schema's description if any."""
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
    return f"{error.validator} {value!r}"[:MAX_VALUE_CHARS]


def _shorten(value: Any) -> str:
    return repr(value)[:MAX_VALUE_CHARS]
