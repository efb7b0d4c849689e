"""``sardinewheel``: the operators' command line."""

import getpass
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from sardinewheel_core.errors import Finding, FindingsError, SettingsError

from sardinewheel_cli import hosts_file, prompt, runner
from sardinewheel_cli.client import HostClient
from sardinewheel_cli.commands import Options
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.session import Session

HOSTS_VARIABLE = "SARDINEWHEEL_HOSTS"
HOSTS_FILE_VARIABLE = "SARDINEWHEEL_HOSTS_FILE"
STANDARD_INPUT = "-"


@cappa.command(name="sardinewheel")
@dataclass
class Sardinewheel:
    """Queries and configures the entry hosts of sardinewheel.

    Without a command, prompts for commands, or reads them from standard
    input if that is not a terminal.
    """

    command: Annotated[
        list[str], cappa.Arg(num_args=-1, help="one command; see 'help'")
    ] = field(default_factory=list)
    host: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            default=cappa.Env(HOSTS_VARIABLE),
            help="host:port of an entry host; repeatable",
        ),
    ] = field(default_factory=list)
    hosts_file: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            default=cappa.Env(HOSTS_FILE_VARIABLE),
            help='JSON file: {"hosts": ["host:port", ...]}',
        ),
    ] = None
    file: Annotated[
        str,
        cappa.Arg(short="-f", long=True, help="script, or - for stdin"),
    ] = ""
    as_one: Annotated[
        bool,
        cappa.Arg(long=True, help="apply a script's operations as one change"),
    ] = False
    author: Annotated[
        str, cappa.Arg(long=True, help="author recorded with each change")
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="show the effect without applying it")
    ] = False
    wait: Annotated[
        bool, cappa.Arg(long=True, help="wait until the change is in force")
    ] = False
    redo: Annotated[
        bool,
        cappa.Arg(long=True, help="resubmit on top of a conflicting change"),
    ] = False
    force: Annotated[
        list[str],
        cappa.Arg(long=True, help="promise that may be strained; repeatable"),
    ] = field(default_factory=list)
    base_version: Annotated[
        int, cappa.Arg(long=True, help="version the change is based on")
    ] = 0

    @property
    def options(self) -> Options:
        """Options that apply to every command of this run."""
        return Options(
            dry_run=self.dry_run,
            wait=self.wait,
            redo=self.redo,
            json=self.json,
            force=tuple(self.force),
            base_version=self.base_version,
        )


def run(arguments: Sardinewheel) -> ExitStatus:
    """Runs the command line and returns its exit status."""
    try:
        addresses = _addresses(arguments)
        text = _script(arguments)
    except (FindingsError, OSError, UnicodeDecodeError) as error:
        print(error, file=sys.stderr)
        return ExitStatus.USAGE
    author = arguments.author or getpass.getuser()
    session = Session(HostClient(addresses), author=author)
    if arguments.command:
        command = " ".join(arguments.command)
        return runner.run_command(session, command, arguments.options)
    if text is None:
        return prompt.run(session, arguments.options)
    return runner.run_script(
        session, text, arguments.options, as_one=arguments.as_one
    )


def _addresses(arguments: Sardinewheel) -> tuple[str, ...]:
    given = [a for text in arguments.host for a in text.split(",") if a]
    if not given and arguments.hosts_file is not None:
        given += hosts_file.read(arguments.hosts_file)
    if not given:
        expected = f"an address from --host, {HOSTS_VARIABLE} or --hosts-file"
        raise SettingsError((Finding("hosts", "nothing", expected),))
    return tuple(given)


def _script(arguments: Sardinewheel) -> str | None:
    """Returns the script to run, or ``None`` to prompt for commands."""
    if arguments.file and arguments.file != STANDARD_INPUT:
        return Path(arguments.file).read_text(encoding="utf-8")
    if arguments.file or not sys.stdin.isatty():
        return sys.stdin.read() if not arguments.command else ""
    return None


def main() -> None:
    """Entry point of the ``sardinewheel`` command."""
    sys.exit(run(cappa.parse(Sardinewheel)))


if __name__ == "__main__":
    main()
