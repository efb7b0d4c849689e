"""Bodies of callers' requests are read or given up before forwarding."""

import gevent
import pytest
from sardinewheel_gateway import body_buffer
from sardinewheel_gateway.body_buffer import BodyBuffer
from sardinewheel_gateway.errors import StoppingError
from sardinewheel_gateway.exchange import Exchange

DEADLINE = 9.0


@pytest.fixture
def exchange():
    return Exchange(connection=None, parser=None, head=None)


def read_later(buffer, exchange):
    reader = gevent.spawn(buffer.read, exchange, DEADLINE)
    gevent.sleep(0)
    return reader


def test_a_body_is_buffered_and_the_rest_of_a_large_one_is_not(exchange):
    size = body_buffer.MAX_REPEATABLE_BODY_BYTES
    exchange.chunks.extend((b"a" * size, b"b", b"c"))
    exchange.body_is_complete = True
    body = BodyBuffer().read(exchange, DEADLINE)
    assert len(body.start) == size + 1
    assert list(body.take_parts()) == [body.start, b"c"]


def test_a_body_that_is_awaited_can_be_given_up(exchange):
    buffer = BodyBuffer()
    reader = read_later(buffer, exchange)
    buffer.give_up(due_after=DEADLINE)
    gevent.sleep(0)
    assert not reader.dead
    buffer.give_up(due_after=DEADLINE - 1.0)
    with pytest.raises(StoppingError):
        reader.get(timeout=1.0)
    assert buffer.deadlines == {}


def test_a_body_that_ended_is_not_given_up(exchange):
    buffer = BodyBuffer()
    reader = read_later(buffer, exchange)
    exchange.body_is_complete = True
    exchange.body_changed.set()
    body = reader.get(timeout=1.0)
    exchange.give_up_body()
    assert (body.start, exchange.body_error) == (b"", None)
