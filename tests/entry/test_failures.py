"""Kills, stops, freezes and broken connections, with real processes."""

import signal
import threading
import time

import pytest
from sardinewheel_testing.processes import wait_until

from tests.entry.house import House, ScriptedTarget, outcome_of, reason_of

WARM_UP = 6
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


@pytest.fixture
def house(tmp_path):
    house = House(tmp_path)
    try:
        yield house
    finally:
        house.stop()


@pytest.fixture
def scripted(house):
    targets = []

    def start(answer):
        target = ScriptedTarget(answer)
        targets.append(target)
        house.configure(target=target.address)
        return target

    yield start
    for target in targets:
        target.close()


def in_background(function):
    replies = []
    thread = threading.Thread(target=lambda: replies.append(function()))
    thread.start()
    return thread, replies


def test_a_killed_owner_leaves_its_ids_unknown(house):
    house.configure()
    request_id = house.ticket("quito-1") + "~k1"
    assert outcome_of(house.ask("quito-1", request_id)) == "done"
    house.processes["quito-1"].kill()
    house.start("quito-1")
    for name in house.names:
        assert outcome_of(house.ask(name, request_id)) == "unknown"
    assert house.executions() == {request_id: 1}


def test_a_planned_stop_cuts_nothing_and_hands_ids_on(house):
    house.configure()
    ticket = house.ticket("quito-1")
    assert outcome_of(house.ask("quito-1", ticket + "~s1")) == "done"
    house.control("target", service_time_s={"": 1.0})
    thread, replies = in_background(
        lambda: house.ask("quito-1", ticket + "~s2")
    )
    wait_until(lambda: ticket + "~s2" in house.executions())
    process = house.processes["quito-1"]
    process.signal(signal.SIGTERM)
    thread.join()
    assert outcome_of(replies[0]) == "done"
    assert process.popen.wait(15) == 0
    house.control("target", service_time_s={"": 0.01})
    for suffix in ("~s1", "~s2", "~s3", "~s3"):
        assert outcome_of(house.ask("quito-2", ticket + suffix)) == "done"
    house.start("quito-1")
    wait_until(lambda: house.is_ready("quito-1"))
    for suffix in ("~s1", "~s2", "~s3"):
        assert outcome_of(house.ask("quito-1", ticket + suffix)) == "done"
    assert set(house.executions().values()) == {1}


def test_a_frozen_owner_wakes_and_runs_no_id_twice(house):
    house.configure()
    request_id = house.ticket("quito-1") + "~f1"
    process = house.processes["quito-1"]
    process.signal(signal.SIGSTOP)
    thread, _ = in_background(lambda: house.ask("quito-1", request_id))
    try:
        retry = house.ask("quito-2", request_id, Deadline_Ms=1000)
        assert outcome_of(retry) == "unknown"
        wait_until(
            lambda: (
                reason_of(house.ask("quito-2", request_id))
                == "owner-unreachable"
            )
        )
    finally:
        process.signal(signal.SIGCONT)
    thread.join()
    final = wait_until(lambda: house.outcome("quito-1", request_id))
    assert outcome_of(final) in ("done", "not-run")
    ran = house.executions().get(request_id, 0)
    assert ran == (1 if outcome_of(final) == "done" else 0)


def test_a_response_that_is_cut_is_not_taken_for_whole(house, scripted):
    cut = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf",
        b"HTTP/1.1 200",
        b"",
    ]

    def answer(sock, number):
        sock.recv(65536)
        sock.sendall(cut[(number - 1) % len(cut)])
        sock.close()

    target = scripted(answer)
    unknown = 0
    while len(target.connections) < len(cut):
        reply = house.ask("quito-1", Deadline_Ms=500)
        # The target is paused for a while after each failure.
        assert outcome_of(reply) in ("unknown", "not-run"), reply
        assert b"half" not in reply.body
        unknown += outcome_of(reply) == "unknown"
    assert unknown == len(cut)


def test_work_on_a_silent_connection_is_retried_if_it_may_be(house, scripted):
    def answer(sock, number):
        for _ in range(WARM_UP):
            sock.recv(65536)
            sock.sendall(OK)
        time.sleep(30)  # Nothing comes on this connection any more.

    target = scripted(answer)
    for _ in range(WARM_UP):
        assert outcome_of(house.ask("quito-1", Kind="status")) == "done"
    started_at = time.monotonic()
    silent = house.ask("quito-1", Kind="status", Deadline_Ms=9000)
    assert outcome_of(silent) == "done"
    assert time.monotonic() - started_at < 9
    assert len(target.connections) == 2


def test_work_that_may_not_be_repeated_is_sent_once(house, scripted):
    def answer(sock, number):
        sock.recv(65536)
        time.sleep(30)

    target = scripted(answer)
    request_id = house.ticket("quito-1") + "~q1"
    for name in house.names:
        reply = house.ask(name, request_id, Deadline_Ms=500)
        assert outcome_of(reply) == "unknown"
    assert len(target.connections) == 1


def test_an_idle_connection_does_not_carry_work_that_runs_once(house, scripted):
    def answer(sock, number):
        while sock.recv(65536):
            sock.sendall(OK)

    target = scripted(answer)
    assert outcome_of(house.ask("quito-1")) == "done"
    assert outcome_of(house.ask("quito-1")) == "done"
    assert len(target.connections) == 1
    time.sleep(1.2)
    assert outcome_of(house.ask("quito-1")) == "done"
    assert len(target.connections) == 2


def test_a_plain_target_that_knows_no_headers_works(house, scripted):
    def answer(sock, number):
        while sock.recv(65536):
            sock.sendall(OK)

    scripted(answer)
    reply = house.ask("quito-2")
    assert (outcome_of(reply), reply.body) == ("done", b"done")
