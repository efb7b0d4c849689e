"""The log never blocks and reports omitted lines."""

import os

import gevent
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.log import (
    MAX_QUEUED_LINES,
    MAX_VALUE_CHARS,
    Log,
    RateLimit,
)

from tests.odd_values import TEXT_OF_ANY_CHARACTERS


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while more := os.read(descriptor, 65536):
            data += more
    except BlockingIOError:
        pass
    return data.decode()


def pipe_log():
    reader, writer = os.pipe()
    log = Log(host="a", descriptor=writer)
    log.start()
    return reader, log


def test_a_line_has_its_fields_in_order():
    reader, log = pipe_log()
    log.info("target-gone", target="i-1", reason='a "b" c', took_s=0.12345)
    log.flush()
    line = read_all(reader)
    assert "level=info host=a event=target-gone target=i-1" in line
    assert "reason=\"a 'b' c\" took_s=0.123" in line


def test_stalled_reader_does_not_block_logging():
    reader, log = pipe_log()
    log.default_limit = RateLimit(10**9)
    for number in range(20_000):
        log.info("event", number=number, padding="x" * 100)
        if number % 1000 == 0:
            gevent.sleep(0)
    assert len(log.lines) <= MAX_QUEUED_LINES
    assert log.dropped > 0
    text = ""
    for _ in range(50):
        text += read_all(reader)
        gevent.sleep(0.02)
    assert "event=log-lines-omitted reason=reader-too-slow" in text


def test_routine_lines_are_limited_and_others_are_kept():
    reader, log = pipe_log()
    log.routine_limit = RateLimit(3)
    for _ in range(10):
        log.request("request-answered")
    log.warning("target-failed")
    log.flush()
    text = read_all(reader)
    assert 3 <= text.count("event=request-answered") <= 6
    assert text.count("event=target-failed") == 1
    assert "reason=routine-rate" in text


def test_rate_limit_counts_omitted_events():
    limit = RateLimit(2)
    assert [limit.admits(5.0) for _ in range(4)] == [True, True, False, False]
    assert limit.omitted == 2
    assert limit.admits(6.0)


def test_events_of_omitted_lines_are_counted():
    _, log = pipe_log()
    log.default_limit = RateLimit(3)
    for number in range(10):
        log.info("target-gone", target=f"t{number}")
    assert log.events["target-gone"] == 10


def test_text_that_can_not_be_encoded_does_not_end_the_writer():
    reader, log = pipe_log()
    log.info("target-joined", target="\ud800", host_name="a\nlevel=error\x1b")
    log.flush()
    log.info("target-gone", target="t1")
    log.flush()
    first, second = read_all(reader).splitlines()
    assert "target=\\ud800" in first
    assert 'host_name="a level=error\\x1b"' in first
    assert "event=target-gone target=t1" in second


@given(TEXT_OF_ANY_CHARACTERS | st.binary())
def test_any_value_takes_one_line_of_bounded_length(value):
    _, log = pipe_log()
    log.info("event", value=value)
    (line,) = log.lines
    assert line.count("\n") == 1
    assert len(line.encode()) < 200 + 16 * MAX_VALUE_CHARS


def test_a_key_is_logged_once_and_each_event_is_counted():
    _, log = pipe_log()
    for key in ("a", "b", "a"):
        log.warn_once("target-refused", key, reason=key)
    assert [x for x in log.lines if "reason=a" in x] == [log.lines[0]]
    assert len(log.lines) == 2
    assert log.events["target-refused"] == 3
