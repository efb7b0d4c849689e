"""Runs commands and scripts, prints their output, sets the exit status."""

import json
import sys

from sardinewheel_core.errors import (
    CommandError,
    Finding,
    SardinewheelError,
)

from sardinewheel_cli import script
from sardinewheel_cli.commands import ChangeIntent, Command, Options
from sardinewheel_cli.errors import ExitStatus, OperatorError, RefusedError
from sardinewheel_cli.parser import parse
from sardinewheel_cli.session import Session
from sardinewheel_cli.syntax import CommandSyntaxError, explain_finding
from sardinewheel_cli.tables import Output, render


def run_command(session: Session, text: str, options: Options) -> ExitStatus:
    """Runs one command and prints its output."""
    try:
        command = _parse(session, text, options)
    except CommandError as error:
        return _report_error(error, options)
    return _run_and_print(session, command, text)


def run_script(
    session: Session, text: str, options: Options, *, as_one: bool
) -> ExitStatus:
    """Runs a script, stopping at the first command that fails.

    The whole script is parsed first; no command runs if any is malformed.
    """
    parts = script.split(text)
    commands = []
    findings: list[Finding] = []
    for part in parts:
        try:
            commands.append(_parse(session, part.text, options))
        except CommandError as error:
            findings += _add_line_number(error, part.line)
    if findings:
        return _report_error(CommandError(tuple(findings)), options)
    if as_one:
        return _run_as_one(session, commands, options)
    for command, part in zip(commands, parts, strict=True):
        status = _run_and_print(session, command, part.text)
        if status is not ExitStatus.OK:
            return status
    return ExitStatus.OK


def _run_as_one(
    session: Session, commands: list[Command], options: Options
) -> ExitStatus:
    statements = [command.statement for command in commands]
    if not all(isinstance(s, ChangeIntent) for s in statements):
        finding = Finding(
            "--as-one", "a query", "a script that contains only changes"
        )
        return _report_error(CommandError((finding,)), options)
    for command in commands:
        options = options.merged(command.options)
    operations = tuple(statement.operation for statement in statements)
    try:
        output = session.change(operations, options)
    except SardinewheelError as error:
        return _report_error(error, options)
    _print(output, options)
    return ExitStatus.OK


def _parse(session: Session, text: str, options: Options) -> Command:
    command = parse(text, names=session.known_names)
    return command._replace(options=command.options.merged(options))


def _run_and_print(session: Session, command: Command, text: str) -> ExitStatus:
    try:
        output = session.run(command)
    except RefusedError as error:
        findings = error.reply.findings
        parts = [
            explain_finding(text, f, session.known_names) for f in findings
        ]
        return _report_error(
            error, command.options, "rejected:\n" + "\n".join(parts)
        )
    except SardinewheelError as error:
        return _report_error(error, command.options)
    _print(output, command.options)
    return ExitStatus.OK


def _print(output: Output, options: Options) -> None:
    if options.json:
        print(json.dumps(output.media))
    else:
        print(render(output))


def _report_error(
    error: SardinewheelError, options: Options, text: str = ""
) -> ExitStatus:
    """Prints an error and returns its exit status."""
    is_usage = isinstance(error, CommandError)
    status = ExitStatus.USAGE if is_usage else ExitStatus.REFUSED
    if isinstance(error, OperatorError):
        status = error.status
    if options.json:
        print(json.dumps(_media(error)))
    if isinstance(error, CommandSyntaxError):
        text = error.render()
    print(text or error, file=sys.stderr)
    return status


def _media(error: SardinewheelError) -> dict:
    media = {"error": type(error).__name__, "message": str(error)}
    if isinstance(error, CommandError):
        media["findings"] = [finding._asdict() for finding in error.findings]
    if isinstance(error, OperatorError):
        media["reply"] = error.media
    return media


def _add_line_number(error: CommandError, line: int) -> list[Finding]:
    return [
        finding._replace(place=f"command at line {line}, {finding.place}")
        for finding in error.findings
    ]
