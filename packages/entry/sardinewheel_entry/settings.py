"""Settings of an entry host, checked against their schema."""

import json
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple

import jsonschema
from sardinewheel_core.errors import Finding, SettingsError

SCHEMA_FILE = "settings.schema.json"


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
        try:
            plain = json.loads(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(
                (Finding(str(path), str(error), "a readable file"),)
            ) from error
        except json.JSONDecodeError as error:
            place = f"{path}:{error.lineno}:{error.colno}"
            raise SettingsError(
                (Finding(place, error.msg, "valid JSON"),)
            ) from error
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
    return tuple(
        Finding(
            f"{place}:{error.json_path}",
            repr(error.instance)[:80],
            f"{error.validator} {error.validator_value!r}"[:120],
        )
        for error in errors
    )
