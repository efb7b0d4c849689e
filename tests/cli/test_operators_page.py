"""Tests that docs/OPERATORS.md matches the grammar and the code."""

import re
from pathlib import Path

from sardinewheel_cli import script
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.help import COMMANDS, OPTIONS
from sardinewheel_cli.parser import grammar, keywords, parse
from sardinewheel_core.operator_messages import ChangeState
from sardinewheel_core.preview import Promise

PAGE = Path(__file__).parents[2] / "docs" / "OPERATORS.md"
TEXT = PAGE.read_text(encoding="utf-8")


def section(title):
    found = re.search(rf"^## {title}$(.*?)(?=^## |\Z)", TEXT, re.M | re.S)
    return found.group(1)


def first_cells(text):
    rows = re.findall(r"^\| (.*?) \| .*\|$", text.replace("\\|", "¦"), re.M)
    cells = [row.replace("¦", "|").strip("`") for row in rows]
    return [cell for cell in cells if cell != "---"]


def examples():
    blocks = re.findall(r"```sardinewheel\n(.*?)```", TEXT, re.S)
    return [part.text for block in blocks for part in script.split(block)]


def test_examples_parse_and_cover_every_grammar_rule():
    used = set()
    for text in examples():
        parse(text)
        tree = grammar().parse(text)
        used |= {sub.data for sub in tree.iter_subtrees()}
    rules = {rule.alias or rule.origin.name for rule in grammar().rules}
    expected = {str(name) for name in rules if not str(name).startswith("_")}
    missing = expected - {str(name) for name in used}
    assert missing <= {"start", "statement", "drain_subject", "option"}, missing


def test_reference_lists_the_commands_of_help():
    listed = first_cells(section("The language"))
    for command, _ in (*COMMANDS, *OPTIONS):
        assert command.strip() in listed


def test_reference_contains_every_keyword():
    words = set(re.findall(r"[a-z-]+", section("The language")))
    assert keywords() <= words


def test_runbook_commands_are_valid():
    commands = re.findall(r"`([a-z][^`]*)`", section("The worst minute"))
    starts = {c.split()[0].split("|")[0] for c, _ in COMMANDS}
    named = [c for c in commands if " " in c]
    assert named
    assert {command.split()[0] for command in named} <= starts
    for command in named:
        if "NAME" not in command and "ID" not in command:
            words = command.split()
            assert set(words) - {"REGION"} <= keywords(), command


def test_states_promises_and_exit_statuses_are_listed():
    listed = first_cells(section("How a change ends"))
    assert set(listed) >= {str(state) for state in ChangeState}
    assert set(listed) >= {str(promise) for promise in Promise}
    statuses = first_cells(section("Exit statuses"))[1:]
    assert statuses == [str(int(status)) for status in ExitStatus]
