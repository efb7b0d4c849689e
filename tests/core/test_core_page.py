"""The example in docs/CORE.md runs unmodified."""

import re
from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "CORE.md"


def test_example_runs():
    text = PAGE.read_text(encoding="utf-8")
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example, str(PAGE), "exec"), {"__name__": "example"})
