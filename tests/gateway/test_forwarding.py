"""Forwarding: what is sent again, and what callers are told."""

import time

import gevent
import pytest

from tests.gateway.house import (
    answer,
    breaks_off,
    read_all,
    request,
    serves,
    sheds,
    silent,
    wait_until,
)


def fails(sock, head, rest):
    """Script: executed it and failed."""
    sock.sendall(answer(head, b"broken", status="500 Failed"))
    return rest


def garbage(sock, head, rest):
    """Script: bytes that are no answer."""
    sock.sendall(b"\x00\x01 nothing of the kind\r\n\r\n")
    sock.close()


def first_meets(script):
    """Returns scripts of two targets: whoever is asked first runs one."""
    asked = []

    def run(sock, head, rest):
        asked.append(head)
        return (script if len(asked) == 1 else serves)(sock, head, rest)

    return run, run


@pytest.mark.parametrize("script", [breaks_off, garbage, fails, sheds])
def test_an_idempotent_request_gets_a_second_attempt(made, script):
    house = made(*first_meets(script))
    assert b"200 OK" in house.ask()
    assert house.arrivals() == 2


@pytest.mark.parametrize("script", [breaks_off, garbage])
def test_another_request_is_never_sent_twice(made, script):
    house = made(*first_meets(script), is_idempotent=False)
    assert house.ask(method="POST").startswith(b"HTTP/1.1 502 ")
    assert house.arrivals() == 1


def test_a_failure_of_the_target_is_passed_on_unchanged(made):
    house = made(*first_meets(fails), is_idempotent=False)
    data = house.ask(method="POST")
    assert data.startswith(b"HTTP/1.1 500 ")
    assert b"broken" in data
    assert house.arrivals() == 1


def test_what_a_target_did_not_execute_may_go_to_another(made):
    house = made(*first_meets(sheds), is_idempotent=False)
    assert b"200 OK" in house.ask(method="POST")
    assert house.arrivals() == 2


def test_no_more_targets_than_allowed_are_tried(made):
    house = made(sheds, sheds, sheds, max_attempts=2)
    data = house.ask()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert house.arrivals() == 2


def test_an_answer_is_due_at_the_routes_timeout(made):
    house = made(silent, silent, timeout_s=0.3)
    began = time.monotonic()
    assert house.ask().startswith(b"HTTP/1.1 504 ")
    assert 0.25 < time.monotonic() - began < 3.0
    assert house.arrivals() == 1


def test_a_target_is_handed_the_time_that_is_left(made):
    house = made(serves, timeout_s=0.8)
    house.ask(more="X-Remaining: 5\r\n")
    head = house.targets["t0"].heads[0].lower()
    remaining = float(head.split("x-remaining: ")[1].split("\r")[0])
    assert 0.0 < remaining <= 0.8


def test_nothing_listens_so_another_target_serves(made):
    house = made(serves, serves)
    house.targets["t0"].server.stop()
    for number in range(6):
        assert b"200 OK" in house.ask(number=number, method="POST")
    assert house.arrivals() == 6


def test_a_late_answer_of_another_request_is_passed_over(made):
    def answers_again(sock, head, rest):
        sock.sendall(answer(head, b"own"))
        if head.startswith("GET /orders/1"):
            gevent.spawn_later(
                0.05, sock.sendall, answer("x-id: id-1", b"extra")
            )
        return rest

    def waits(sock, head, rest):
        if head.startswith("GET /orders/2"):
            gevent.sleep(0.1)
        return answers_again(sock, head, rest)

    house = made(waits)
    assert b"own" in house.ask(number=1)
    data = house.ask(number=2)
    assert b"extra" not in data
    assert b"own" in data


def test_an_answer_without_length_that_is_reset_is_not_whole(made):
    def resets(sock, head, rest):
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nX-Id: {head.split('X-Id: ')[-1][:4]}\r\n"
            "X-Proof: yes\r\n\r\nhalf".encode()
        )
        gevent.sleep(0.05)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(1, 13, linger)
        sock.close()

    house = made(resets, is_idempotent=False)
    assert house.ask(method="POST").startswith(b"HTTP/1.1 502 ")


def test_a_success_without_the_targets_proof_is_not_passed_on(made):
    def unproved(sock, head, rest):
        sock.sendall(answer(head).replace(b"X-Proof: yes\r\n", b""))
        return rest

    house = made(unproved, is_idempotent=False)
    assert house.ask(method="POST").startswith(b"HTTP/1.1 502 ")


def test_a_large_answer_that_breaks_off_does_not_look_whole(made):
    def half(sock, head, rest):
        sock.sendall(answer(head, b"x" * 400_000)[:-1000])
        sock.close()

    house = made(half)
    data = house.ask()
    assert b"content-length: 400000" in data.lower()
    assert len(data) < 400_000


def test_a_large_answer_is_passed_on_whole(made):
    def large(sock, head, rest):
        sock.sendall(answer(head, b"x" * 400_000))
        return rest

    house = made(large)
    assert house.ask().endswith(b"x" * 400_000)


def body_length(head):
    return int(head.lower().split("content-length: ")[1].split("\r")[0])


def test_a_large_body_is_streamed_whole(made):
    bodies = []

    def keeps(sock, head, rest):
        while len(rest) < body_length(head):
            rest += sock.recv(65536)
        bodies.append(rest)
        sock.sendall(answer(head))

    house = made(keeps)
    body = bytes(range(256)) * 2048
    assert b"200 OK" in house.ask(method="POST", body=body)
    assert bodies == [body]


def test_an_early_answer_ends_the_sending_and_the_connection(made):
    def early(sock, head, rest):
        sock.sendall(answer(head, b"no", status="413 Large"))
        gevent.sleep(0.2)
        return b""

    house = made(early)
    sock = house.connect()
    sock.sendall(request("POST", 1, b"x" * 900_000)[:300_000])
    assert sock.recv(65536).startswith(b"HTTP/1.1 413 ")
    wait_until(lambda: not house.forwarder.sender.pool.idle)


def test_no_target_is_refused_at_once_with_a_time_to_return(made):
    house = made()
    began = time.monotonic()
    data = house.ask()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert time.monotonic() - began < 1.0


def test_a_host_without_configuration_says_not_run(made):
    house = made(serves)
    house.routing_state.configuration = None
    assert house.ask().startswith(b"HTTP/1.1 503 ")
    assert house.arrivals() == 0


def test_connections_to_targets_are_reused(made):
    house = made(serves)
    sock = house.connect()
    for number in range(5):
        sock.sendall(request(number=number))
        assert b"200 OK" in sock.recv(65536)
    assert house.forwarder.metrics.counters["target_connections"] == 1


def test_read_all_sees_a_clean_end(made):
    house = made(serves)
    assert b"<reset>" not in read_all_of(house)


def read_all_of(house):
    sock = house.connect()
    sock.sendall(request(more="Connection: close\r\n"))
    return read_all(sock)


def test_a_stopping_host_refuses_what_comes_too_late(made):
    house = made(serves)
    house.forwarder.is_stopping = True
    assert house.ask().startswith(b"HTTP/1.1 503 ")
    assert house.arrivals() == 0
