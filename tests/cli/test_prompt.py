"""Tests completion at the prompt."""

import pytest
from prompt_toolkit.completion import CompleteEvent
from prompt_toolkit.document import Document
from sardinewheel_cli.prompt import CommandCompleter
from sardinewheel_core.change import Change, DefineRegion, apply_change
from sardinewheel_core.intent import Intent, Region


@pytest.fixture
def completer():
    operations = (
        DefineRegion(Region("austro", 4, ("cuenca-centro",))),
        DefineRegion(Region("costa", 4, ("guayaquil-puerto",))),
    )
    change = Change(1, "c", "ana", operations)
    return CommandCompleter(apply_change(Intent.empty(), change))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("sh", ["shift", "show"]),
        ("set cap ", ["austro", "costa"]),
        ("set cap co", ["costa"]),
        ("drain domain ", ["cuenca-centro", "guayaquil-puerto"]),
        ("drain domain cuenca-centro w", ["within"]),
        ("set cap austro 4 --force d", ["drain-room"]),
        ("shwo ", []),
    ],
)
def test_completes_keywords_and_names(completer, text, expected):
    found = completer.get_completions(Document(text), CompleteEvent())
    assert [completion.text for completion in found] == expected
