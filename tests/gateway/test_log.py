"""The log never blocks and reports omitted lines."""

import os

import gevent
from sardinewheel_gateway.log import MAX_QUEUED_LINES, Log, RateLimit


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
