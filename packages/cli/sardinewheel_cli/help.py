"""The list of commands."""

from sardinewheel_cli.tables import Grid, Output

COMMANDS = (
    ("show services|regions|domains|seats|hosts", "what is in force"),
    ("show caps|shifts|drains|blocks|intent", "what is in force"),
    ("show service NAME", "kinds and targets, with their use"),
    ("show region NAME", "its headroom"),
    ("show headroom", "room left, by region, service and host"),
    ("show traffic [by service|kind|region]", "where requests go"),
    ("show latency [service NAME]", "latency percentiles"),
    ("show rollout", "version in force on each host"),
    ("show versions", "latest changes, and where each is in force"),
    ("show change ID", "what became of a change"),
    ("show repairs", "what the hosts mended"),
    ("explain request|service|region|target|host NAME", "decisions about it"),
    ("define region NAME cap N [domains A, B]", "create or replace"),
    ("define seat NAME in DOMAIN", "create or replace"),
    (
        "define service NAME [kind ...] [target ...]",
        "create or replace",
    ),
    (
        "  kind NAME priority N [weight N] [reserved N%] [at most once]",
        "part of a service",
    ),
    (
        "  target NAME in DOMAIN at ADDRESS slots N",
        "part of a service",
    ),
    ("define block PREFIX in REGION", "assign callers to a region"),
    ("remove service NAME", "with its shifts"),
    ("remove seat NAME", ""),
    ("set cap REGION N", "weight units in flight at a time"),
    (
        "shift SERVICE from REGION to REGION share N% cap N"
        " [per 10s] [over 60s] [as NAME]",
        "move traffic",
    ),
    ("abort shift NAME", "return at the shift's own pace"),
    ("end shift NAME", "forget it at once"),
    ("drain target|host|domain|region NAME [within 30s]", "empty it"),
    ("undrain target|host|domain|region NAME", "let it take work again"),
    ("help", "this list"),
)
OPTIONS = (
    ("--dry-run", "show the effect, change nothing"),
    ("--force PROMISE", "accept that a named promise is strained"),
    ("--wait", "wait until in force on live hosts, and drained places empty"),
    ("--redo", "after a conflict, make it on top of the winning change"),
    ("--base-version N", "refuse unless version N is the latest"),
    ("--json", "print JSON"),
)


def help_output() -> Output:
    """Returns the list of commands and options."""
    commands = Grid("commands", ("command", "meaning"), COMMANDS)
    options = Grid("options of changes", ("option", "meaning"), OPTIONS)
    media = {"commands": COMMANDS, "options": OPTIONS}
    return Output(media, (commands, options))
