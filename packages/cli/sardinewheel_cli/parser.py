"""Parser of the operators' language."""

import functools
import json
from decimal import Decimal, DecimalException
from importlib import resources

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedEOF,
    UnexpectedInput,
    UnexpectedToken,
    VisitError,
)
from lark.lexer import PatternStr
from sardinewheel_core import change, intent
from sardinewheel_core.errors import CommandError, Finding

from sardinewheel_cli.commands import (
    ChangeIntent,
    Command,
    Explain,
    Help,
    Options,
    Show,
    Statement,
)
from sardinewheel_cli.syntax import CommandSyntaxError

MAX_COMMAND_CHARS = 256 * 1024
SECONDS_PER_UNIT = {
    "ms": Decimal("0.001"),
    "s": Decimal(1),
    "m": Decimal(60),
    "h": Decimal(3600),
}
END_TERMINAL = "$END"


@functools.cache
def grammar() -> Lark:
    """Returns the parser of the language."""
    file = resources.files(__package__).joinpath("grammar.lark")
    text = file.read_text(encoding="utf-8")
    return Lark(text, parser="lalr", lexer="contextual")


def keywords() -> frozenset[str]:
    """Returns the keywords of the grammar."""
    patterns = (terminal.pattern for terminal in grammar().terminals)
    return frozenset(
        pattern.value
        for pattern in patterns
        if isinstance(pattern, PatternStr) and pattern.value[0].isalpha()
    )


def parse(text: str, *, names: tuple[str, ...] = ()) -> Command:
    """Parses a command.

    Args:
        text: One command; line breaks count as spaces.
        names: Defined names, suggested as corrections of misspelt words.

    Raises:
        CommandError: The text does not follow the grammar, or a value in it
            is out of range.

    Examples:
        >>> parse("set cap austro 40").statement.operation
        SetCap(region='austro', cap=40)
        >>> parse("drain target t1 within 1m --wait").options.wait
        True
    """
    if len(text) > MAX_COMMAND_CHARS:
        expected = f"at most {MAX_COMMAND_CHARS} characters"
        finding = Finding("command", f"{len(text)} characters", expected)
        raise CommandError((finding,))
    try:
        return _CommandBuilder().transform(grammar().parse(text))
    except UnexpectedInput as error:
        position = _position(error, text)
        raise CommandSyntaxError(
            text, position, _expected(error), names
        ) from None
    except VisitError as error:
        if isinstance(error.orig_exc, CommandError):
            raise error.orig_exc from None
        raise


def describe_terminal(name: str) -> str:
    """Returns a grammar terminal as shown to operators.

    Examples:
        >>> describe_terminal("SHOW"), describe_terminal("NEW_NAME")
        ('show', '<new name>')
    """
    if name == END_TERMINAL:
        return "the end of the command"
    pattern = grammar().get_terminal(name).pattern
    if isinstance(pattern, PatternStr):
        return pattern.value
    return f"<{name.lower().replace('_', ' ')}>"


def _expected(error: UnexpectedInput) -> tuple[str, ...]:
    if isinstance(error, UnexpectedCharacters):
        names = error.allowed or ()
    elif isinstance(error, UnexpectedToken):
        names = error.accepts or error.expected
    else:
        names = ()
    return tuple(sorted({describe_terminal(name) for name in names}))


def _position(error: UnexpectedInput, text: str) -> int:
    at_end = isinstance(error, UnexpectedEOF) or (
        isinstance(error, UnexpectedToken) and error.token.type == END_TERMINAL
    )
    if at_end or error.pos_in_stream is None:
        return len(text)
    return error.pos_in_stream


def _unquote(token: Token) -> str:
    if not token.startswith('"'):
        return str(token)
    try:
        value = json.loads(token, strict=False)
    except ValueError as error:
        raise _value_error(token, f"a valid quoted name ({error})") from None
    if not value:
        raise _value_error(token, "a non-empty name")
    return value


def _value_error(token: Token, expected: str) -> CommandError:
    finding = Finding(f"column {token.column}", repr(str(token)), expected)
    return CommandError((finding,))


def _finite_float(token: Token, number: Decimal) -> float:
    value = float(number)
    if value == float("inf"):
        raise _value_error(token, "a smaller number")
    return value


def _decimal(token: Token, text: str) -> Decimal:
    try:
        return Decimal(text)
    except DecimalException:
        raise _value_error(token, "a smaller number") from None


@v_args(inline=True)
class _CommandBuilder(Transformer):
    """Transforms the parse tree into a command, from the leaves up."""

    def _name(self, token: Token) -> str:
        return _unquote(token)

    service = region = domain = target = host = shift = _name
    block = new_name = request_id = change_id = strain = address = _name

    def count(self, token: Token) -> int:
        if len(token) > 18:  # noqa: PLR2004
            raise _value_error(token, "a whole number of at most 18 digits")
        return int(token)

    def percent(self, token: Token) -> float:
        number = _decimal(token, token[:-1])
        return _finite_float(token, number / 100)

    def duration(self, token: Token) -> float:
        digits = token.rstrip("msh")
        unit = SECONDS_PER_UNIT[token[len(digits) :]]
        return _finite_float(token, _decimal(token, digits) * unit)

    def list_view(self, token: Token) -> str:
        return str(token)

    axis = list_view

    def show_list(self, view: str) -> Show:
        return Show(view)

    def show_service(self, name: str) -> Show:
        return Show("service", name)

    def show_region(self, name: str) -> Show:
        return Show("region", name)

    def show_change(self, name: str) -> Show:
        return Show("change", name)

    def show_traffic(self, by: str = "") -> Show:
        return Show("traffic", by=by)

    def show_latency(self, name: str = "") -> Show:
        return Show("latency", name)

    def explain_request(self, name: str) -> Explain:
        return Explain("request", name)

    def explain_service(self, name: str) -> Explain:
        return Explain("service", name)

    def explain_region(self, name: str) -> Explain:
        return Explain("region", name)

    def explain_target(self, name: str) -> Explain:
        return Explain("target", name)

    def explain_host(self, name: str) -> Explain:
        return Explain("host", name)

    def domains(self, *names: str) -> tuple[str, ...]:
        return names

    def define_region(
        self, name: str, cap: int, domains: tuple[str, ...] = ()
    ) -> ChangeIntent:
        region = intent.Region(name, cap, domains)
        return ChangeIntent(change.DefineRegion(region))

    def define_seat(self, name: str, domain: str) -> ChangeIntent:
        return ChangeIntent(change.DefineSeat(intent.Seat(name, domain)))

    def define_block(self, prefix: str, region: str) -> ChangeIntent:
        return ChangeIntent(change.DefineBlock(intent.Block(prefix, region)))

    def weight(self, value: int) -> tuple[str, int]:
        return "weight", value

    def reserved(self, value: float) -> tuple[str, float]:
        return "reserved", value

    def once(self) -> tuple[str, bool]:
        return "repeatable", False

    def kind(self, name: str, priority: int, *fields) -> intent.Kind:
        return intent.Kind(name, priority, **dict(fields))

    def new_target(self, name: str, domain: str, address: str, slots: int):
        return intent.Target(name, domain, address, slots)

    def define_service(self, name: str, *members) -> ChangeIntent:
        _reject_duplicates(name, members)
        kinds = {m.name: m for m in members if isinstance(m, intent.Kind)}
        targets = {m.name: m for m in members if isinstance(m, intent.Target)}
        service = intent.Service(name, kinds, targets)
        return ChangeIntent(change.DefineService(service))

    def remove_service(self, name: str) -> ChangeIntent:
        return ChangeIntent(change.RemoveService(name))

    def remove_seat(self, name: str) -> ChangeIntent:
        return ChangeIntent(change.RemoveSeat(name))

    def set_cap(self, region: str, cap: int) -> ChangeIntent:
        return ChangeIntent(change.SetCap(region, cap))

    def per(self, value: float) -> tuple[str, float]:
        return "interval_s", value

    def over(self, value: float) -> tuple[str, float]:
        return "pace_s", value

    def label(self, value: str) -> tuple[str, str]:
        return "name", value

    def start_shift(
        self,
        service: str,
        source: str,
        destination: str,
        share: float,
        cap: int,
        *fields,
    ) -> ChangeIntent:
        options = {"name": f"{service}-{source}-{destination}"}
        options |= dict(fields)
        shift = intent.Shift(
            service=service,
            source=source,
            destination=destination,
            share=share,
            cap=cap,
            **options,
        )
        return ChangeIntent(change.StartShift(shift))

    def abort_shift(self, name: str) -> ChangeIntent:
        return ChangeIntent(change.AbortShift(name))

    def end_shift(self, name: str) -> ChangeIntent:
        return ChangeIntent(change.EndShift(name))

    def target_subject(self, name: str) -> tuple[intent.Subject, str]:
        return intent.Subject.TARGET, name

    def host_subject(self, name: str) -> tuple[intent.Subject, str]:
        return intent.Subject.ENTRY_HOST, name

    def domain_subject(self, name: str) -> tuple[intent.Subject, str]:
        return intent.Subject.DOMAIN, name

    def region_subject(self, name: str) -> tuple[intent.Subject, str]:
        return intent.Subject.REGION, name

    def within(self, value: float) -> float:
        return value

    def start_drain(self, subject, *within_s: float) -> ChangeIntent:
        return ChangeIntent(
            change.StartDrain(intent.Drain(*subject, *within_s))
        )

    def end_drain(self, subject) -> ChangeIntent:
        return ChangeIntent(change.EndDrain(*subject))

    def help(self) -> Help:
        return Help()

    def dry_run(self) -> Options:
        return Options(dry_run=True)

    def wait(self) -> Options:
        return Options(wait=True)

    def redo(self) -> Options:
        return Options(redo=True)

    def json(self) -> Options:
        return Options(json=True)

    def force(self, name: str) -> Options:
        return Options(force=(name,))

    def base_version(self, version: int) -> Options:
        return Options(base_version=version)

    def start(self, statement: Statement, *options: Options) -> Command:
        merged = Options()
        for option in options:
            merged = merged.merged(option)
        return Command(statement, merged)


def _reject_duplicates(service: str, members: tuple) -> None:
    """Raises an error if two kinds or two targets have the same name."""
    seen = set()
    findings = []
    for member in members:
        key = (type(member).__name__.lower(), member.name)
        if key in seen:
            location = f"service {service}"
            expected = f"each {key[0]} defined once"
            findings.append(Finding(location, repr(member.name), expected))
        seen.add(key)
    if findings:
        raise CommandError(tuple(findings))
