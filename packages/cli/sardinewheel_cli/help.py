"""Help text: the list of commands and options."""

from sardinewheel_cli.tables import Grid, Output

COMMANDS = (
    ("show services|regions|domains|seats|hosts", "configuration in force"),
    ("show caps|shifts|drains|blocks|intent", "configuration in force"),
    ("show service NAME", "kinds and targets, with their usage"),
    ("show region NAME", "headroom of a region"),
    ("show headroom", "headroom by region, service and host"),
    (
        "show traffic [by service|kind|region]",
        "request counts by source and destination",
    ),
    ("show latency [service NAME]", "latency percentiles"),
    ("show rollout", "version in force on each host"),
    ("show versions", "latest changes and the hosts that have them"),
    ("show change ID", "outcome of a change"),
    ("show repairs", "repairs made by the hosts"),
    (
        "explain request|service|region|target|host NAME",
        "decisions that concern it",
    ),
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
    ("set cap REGION N", "maximum weight units in flight"),
    (
        "shift SERVICE from REGION to REGION share N% cap N"
        " [per 10s] [over 60s] [as NAME]",
        "move traffic",
    ),
    ("abort shift NAME", "move traffic back at the shift's pace"),
    ("end shift NAME", "remove it immediately"),
    (
        "drain target|host|domain|region NAME [within 30s]",
        "stop new work and empty it",
    ),
    ("undrain target|host|domain|region NAME", "accept new work again"),
    ("help", "list commands and options"),
)
OPTIONS = (
    ("--dry-run", "show the effect without applying it"),
    ("--force PROMISE", "allow the change to strain this promise"),
    ("--wait", "wait until in force on live hosts and drains are done"),
    ("--redo", "after a conflict, resubmit on top of the winning change"),
    ("--base-version N", "refuse unless version N is the latest"),
    ("--json", "print JSON"),
)


def help_output() -> Output:
    """Returns the lists of commands and options."""
    commands = Grid("commands", ("command", "meaning"), COMMANDS)
    options = Grid("options of changes", ("option", "meaning"), OPTIONS)
    media = {"commands": COMMANDS, "options": OPTIONS}
    return Output(media, (commands, options))
