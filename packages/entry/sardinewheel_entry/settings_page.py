"""Generates the settings page of the documentation from the schema."""

import json
import sys
from pathlib import Path
from typing import Any

from sardinewheel_entry import settings

INTRODUCTION = """\
# Settings

Generated from `settings.schema.json` by `make settings-page`.

`sardinewheeld FILE` reads its settings from a JSON file. `sardinewheeld --check
FILE` only checks them: every finding is printed with file, path, value and
what was expected, and the exit status is 2.

| setting | needed | default | meaning |
|---|---|---|---|
"""


def render_page(schema: dict[str, Any]) -> str:
    """Returns the settings page as Markdown."""
    rows = [
        _row(name, plain, schema)
        for name, plain in schema["properties"].items()
    ]
    address = schema["$defs"]["address"]["description"]
    return f"{INTRODUCTION}{''.join(rows)}\nAn address is an {address}\n"


def _row(name: str, plain: dict[str, Any], schema: dict[str, Any]) -> str:
    needed = "yes" if name in schema["required"] else "no"
    default = f"`{json.dumps(plain['default'])}`" if "default" in plain else ""
    meaning = plain["description"]
    if "enum" in plain:
        meaning += f" One of {', '.join(plain['enum'])}."
    return f"| `{name}` | {needed} | {default} | {meaning} |\n"


def main() -> None:
    """Writes the page to the file given as first argument."""
    Path(sys.argv[1]).write_text(
        render_page(settings.schema()), encoding="utf-8"
    )


if __name__ == "__main__":
    main()
