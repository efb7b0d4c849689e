"""Tests that the parser accepts commands and reports errors with positions.

Any other input must raise ``CommandError`` and no other exception.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_cli.commands import (
    ChangeIntent,
    Command,
    Explain,
    Options,
    Show,
)
from sardinewheel_cli.parser import grammar, parse
from sardinewheel_cli.syntax import CommandSyntaxError
from sardinewheel_core.change import (
    DefineService,
    SetCap,
    StartDrain,
    StartShift,
)
from sardinewheel_core.errors import CommandError
from sardinewheel_core.intent import (
    Drain,
    Kind,
    Service,
    Shift,
    Subject,
    Target,
)

SERVICE = """
define service pedidos  # orders
  kind confirm priority 0 weight 2 reserved 20% at most once
  kind status priority 2
  target t1 in quito-bodega at 127.0.0.1:7001 slots 3
"""


def test_service_on_several_lines():
    kinds = {
        "confirm": Kind("confirm", 0, 0.2, 2, repeatable=False),
        "status": Kind("status", 2),
    }
    target = Target("t1", "quito-bodega", "127.0.0.1:7001", 3)
    service = Service("pedidos", kinds, {"t1": target})
    assert parse(SERVICE).statement == ChangeIntent(DefineService(service))


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        ("show regions", Show("regions")),
        ("show traffic by kind", Show("traffic", by="kind")),
        ("show latency service pedidos", Show("latency", "pedidos")),
        ("explain request a~1f~3~o-17", Explain("request", "a~1f~3~o-17")),
        ('show service "at most"', Show("service", "at most")),
        ("show service show", Show("service", "show")),
        (
            "drain host quito-1 within 500ms",
            ChangeIntent(StartDrain(Drain(Subject.ENTRY_HOST, "quito-1", 0.5))),
        ),
        (
            "shift pedidos from a to b share 12.5% cap 9 over 1m",
            ChangeIntent(
                StartShift(Shift("pedidos-a-b", "pedidos", "a", "b", 0.125, 9))
            ),
        ),
    ],
)
def test_statements(text, statement):
    assert parse(text) == Command(statement)


def test_options_are_merged():
    text = "set cap austro 4 --force region-cap --wait --base-version 7"
    command = parse(text)
    assert command.statement == ChangeIntent(SetCap("austro", 4))
    options = Options(wait=True, force=("region-cap",), base_version=7)
    assert command.options == options


@pytest.mark.parametrize(
    ("text", "column", "suggestion"),
    [
        ("show regoins", 6, "regions"),
        ("drian target t1", 1, "drain"),
        ("drain host h --wiat", 14, "--wait"),
        ("drain target", 13, ""),
        ("set cap austro lots", 16, ""),
        ("define service p\n  knid a priority 0", 3, "kind"),
        ("drain target t1 within 30", 24, ""),
    ],
)
def test_errors_have_position_and_suggestion(text, column, suggestion):
    with pytest.raises(CommandSyntaxError) as caught:
        parse(text)
    error = caught.value
    assert (error.column, error.suggestion) == (column, suggestion)
    line, caret = error.render().split("\n")[:2]
    assert line == text.split("\n")[-1]
    assert caret == " " * (column - 1) + "^"


@pytest.mark.parametrize(
    "text",
    [
        "define service p kind a priority 0 kind a priority 1",
        'define seat "\\q" in d',
        'define seat "" in d',
        f"set cap a {'9' * 40}",
        f"drain target t within {'9' * 400}s",
        "show regions " * 40_000,
    ],
)
def test_invalid_values_are_rejected(text):
    with pytest.raises(CommandError):
        parse(text)


def words():
    terminals = [t.pattern for t in grammar().terminals]
    keywords = sorted({p.value for p in terminals if p.type == "str"})
    unusual = ["a", "9", "9%", "9s", "1:2", '"', "\\", "#", "\n", "\x00", "é"]
    return st.sampled_from(keywords + unusual) | st.text(max_size=6)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(words(), max_size=20))
def test_arbitrary_input_raises_only_command_errors(parts):
    try:
        command = parse(" ".join(parts))
    except CommandError as error:
        assert error.findings
    else:
        assert isinstance(command, Command)
