"""Answers operators who ask where a request would go now."""

import json
from urllib.parse import parse_qsl

from sardinewheel_gateway import clock
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.policy.explanation import Question, explain
from sardinewheel_gateway.policy.routing_state import RoutingState

PATH = b"/v1/placement"
OK = 200
BAD_REQUEST = 400
NOT_ALLOWED = 405
JSON_HEADERS = [(b"content-type", b"application/json")]


def is_explain_operation(path: bytes) -> bool:
    """Returns whether a path is that of a question."""
    return path.partition(b"?")[0] == PATH


def handle(exchange: Exchange, state: RoutingState) -> None:
    """Answers ``GET /v1/placement`` with the request in the query.

    Its parameters are the fields of :class:`Question`.
    """
    if exchange.head.method != b"GET":
        _respond(exchange, NOT_ALLOWED, {})
        return
    query = exchange.head.path.partition(b"?")[2].decode("latin-1")
    try:
        question = parse_question(query)
        answer = explain(state, question, clock.steady())
    except ValueError as error:
        _respond(exchange, BAD_REQUEST, {"problem": str(error)})
        return
    _respond(exchange, OK, answer)


def parse_question(query: str) -> Question:
    """Returns the question of a query.

    Raises:
        ValueError: A parameter is missing, or is not one.

    Examples:
        >>> parse_question("method=GET&host=shop.example&path=/orders/1").path
        '/orders/1'
    """
    fields = dict(parse_qsl(query))
    unknown = fields.keys() - set(Question._fields)
    if unknown:
        raise ValueError(f"unknown parameters {sorted(unknown)}")
    needed = set(Question._fields) - set(Question._field_defaults)
    missing = needed - fields.keys()
    if missing:
        raise ValueError(f"missing parameters {sorted(missing)}")
    return Question(**fields)


def _respond(exchange: Exchange, status: int, media) -> None:
    exchange.respond(status, JSON_HEADERS, json.dumps(media).encode())
