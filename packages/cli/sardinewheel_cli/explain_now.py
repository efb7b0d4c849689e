"""Asks a running gateway where a request would go now."""

import json
import urllib.parse
from typing import Any

import cappa

from sardinewheel_cli.client import Reply, send_request
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.tables import Grid, Output, render

PATH = "/v1/placement"
OK = 200
TARGET_COLUMNS = (
    "target",
    "domain",
    "slots",
    "load",
    "load_age_s",
    "error_share",
    "pause_s",
    "limit_per_s",
    "is_cold",
    "failures",
    "obstacle",
)


def ask(host: str, question: dict[str, str]) -> dict[str, Any]:
    """Returns the answer of a gateway; nothing is sent to a target.

    Args:
        host: Control address of the gateway.
        question: Properties of the request; empty ones are omitted.

    Raises:
        cappa.Exit: The gateway did not answer, or can't read the question.
    """
    given = {name: value for name, value in question.items() if value}
    query = urllib.parse.urlencode(given)
    reply = send_request(host, "GET", f"{PATH}?{query}")
    _require_answer(reply)
    return reply.media


def _require_answer(reply: Reply) -> None:
    if not reply.answered:
        raise cappa.Exit(
            f"{reply.address} did not respond: {reply.error}",
            code=ExitStatus.UNREACHABLE,
        )
    if reply.status != OK:
        raise cappa.Exit(
            f"{reply.address} refused the question: {reply.media}",
            code=ExitStatus.REFUSED,
        )


def as_text(answer: dict[str, Any]) -> str:
    """Returns an answer as tables and lines."""
    rows = [
        tuple(row[name] for name in TARGET_COLUMNS)
        for row in answer.get("targets", ())
    ]
    grid = Grid("targets, in order of preference", TARGET_COLUMNS, tuple(rows))
    notes = [
        f"{name}: {json.dumps(value)}"
        for name, value in answer.items()
        if name not in ("targets", "question")
    ]
    return render(Output(answer, (grid,), (*notes, conclusion(answer))))


def conclusion(answer: dict[str, Any]) -> str:
    """Returns the answer in one sentence.

    Examples:
        >>> conclusion({"target": "t1", "choice": "rank-0"})
        'It would go to t1 (rank-0).'
        >>> conclusion({"refusal": "overload"})
        'It would be refused: overload.'
    """
    if "refusal" in answer:
        return f"It would be refused: {answer['refusal']}."
    text = f"It would go to {answer['target']} ({answer['choice']})."
    if answer.get("is_random"):
        return f"{text} The choice is random; another request may differ."
    return text
