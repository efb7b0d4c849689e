"""Addresses of entry hosts from a JSON file."""

from pathlib import Path

import jsonschema
from sardinewheel_core.codec import load_json
from sardinewheel_core.errors import Finding, MessageError, SettingsError

SCHEMA = {
    "type": "object",
    "properties": {
        "hosts": {
            "type": "array",
            "minItems": 1,
            "items": {"type": "string", "pattern": "^[^\\s]+:[0-9]+$"},
        }
    },
    "required": ["hosts"],
}


def read(path: Path) -> tuple[str, ...]:
    """Reads the addresses from a file such as ``{"hosts": ["[::1]:80"]}``.

    Raises:
        SettingsError: The file cannot be read or does not match the schema;
            contains all findings.
    """
    try:
        plain = load_json(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, MessageError) as error:
        finding = Finding(str(path), str(error), "a readable JSON file")
        raise SettingsError((finding,)) from error
    validator = jsonschema.Draft202012Validator(SCHEMA)
    findings = tuple(
        Finding(f"{path}:{e.json_path}", repr(e.instance)[:80], e.message)
        for e in validator.iter_errors(plain)
    )
    if findings:
        raise SettingsError(findings)
    return tuple(plain["hosts"])
