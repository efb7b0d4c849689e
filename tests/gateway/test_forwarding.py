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
def test_an_idempotent_request_gets_a_second_attempt(start_gateway, script):
    house = start_gateway(*first_meets(script))
    assert b"200 OK" in house.ask()
    assert house.arrivals() == 2


@pytest.mark.parametrize("script", [breaks_off, garbage])
def test_another_request_is_never_sent_twice(start_gateway, script):
    house = start_gateway(*first_meets(script), is_idempotent=False)
    assert house.ask(method="POST").startswith(b"HTTP/1.1 502 ")
    assert house.arrivals() == 1


def test_a_failure_of_the_target_is_passed_on_unchanged(start_gateway):
    house = start_gateway(*first_meets(fails), is_idempotent=False)
    data = house.ask(method="POST")
    assert data.startswith(b"HTTP/1.1 500 ")
    assert b"broken" in data
    assert house.arrivals() == 1


def test_what_a_target_did_not_execute_may_go_to_another(start_gateway):
    house = start_gateway(*first_meets(sheds), is_idempotent=False)
    assert b"200 OK" in house.ask(method="POST")
    assert house.arrivals() == 2


def test_no_more_targets_than_allowed_are_tried(start_gateway):
    house = start_gateway(sheds, sheds, sheds, max_attempts=2)
    data = house.ask()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert house.arrivals() == 2


def test_an_answer_is_due_at_the_routes_timeout(start_gateway):
    house = start_gateway(silent, silent, timeout_s=0.3)
    began = time.monotonic()
    assert house.ask().startswith(b"HTTP/1.1 504 ")
    assert 0.25 < time.monotonic() - began < 3.0
    assert house.arrivals() == 1


def test_a_target_is_handed_the_time_that_is_left(start_gateway):
    house = start_gateway(serves, timeout_s=0.8)
    house.ask(more="X-Remaining: 5\r\n")
    head = house.targets["t0"].heads[0].lower()
    remaining = float(head.split("x-remaining: ")[1].split("\r")[0])
    assert 0.0 < remaining <= 0.8


def test_nothing_listens_so_another_target_serves(start_gateway):
    house = start_gateway(serves, serves)
    house.targets["t0"].server.stop()
    for number in range(6):
        assert b"200 OK" in house.ask(number=number, method="POST")
    assert house.arrivals() == 6


def test_a_late_answer_of_another_request_is_passed_over(start_gateway):
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

    house = start_gateway(waits)
    assert b"own" in house.ask(number=1)
    data = house.ask(number=2)
    assert b"extra" not in data
    assert b"own" in data


def test_an_answer_without_length_that_is_reset_is_not_whole(start_gateway):
    def resets(sock, head, rest):
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nX-Id: {head.split('X-Id: ')[-1][:4]}\r\n"
            "X-Proof: yes\r\n\r\nhalf".encode()
        )
        gevent.sleep(0.05)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(1, 13, linger)
        sock.close()

    house = start_gateway(resets, is_idempotent=False)
    assert house.ask(method="POST").startswith(b"HTTP/1.1 502 ")


def test_a_success_without_the_targets_proof_is_not_passed_on(start_gateway):
    def unproved(sock, head, rest):
        sock.sendall(answer(head).replace(b"X-Proof: yes\r\n", b""))
        return rest

    house = start_gateway(unproved, is_idempotent=False)
    assert house.ask(method="POST").startswith(b"HTTP/1.1 502 ")


def test_a_large_answer_that_breaks_off_does_not_look_whole(start_gateway):
    def half(sock, head, rest):
        sock.sendall(answer(head, b"x" * 400_000)[:-1000])
        sock.close()

    house = start_gateway(half)
    data = house.ask()
    assert b"content-length: 400000" in data.lower()
    assert len(data) < 400_000


def test_a_large_answer_is_passed_on_whole(start_gateway):
    def large(sock, head, rest):
        sock.sendall(answer(head, b"x" * 400_000))
        return rest

    house = start_gateway(large)
    assert house.ask().endswith(b"x" * 400_000)


def body_length(head):
    return int(head.lower().split("content-length: ")[1].split("\r")[0])


def test_a_large_body_is_streamed_whole(start_gateway):
    bodies = []

    def keeps(sock, head, rest):
        while len(rest) < body_length(head):
            rest += sock.recv(65536)
        bodies.append(rest)
        sock.sendall(answer(head))

    house = start_gateway(keeps)
    body = bytes(range(256)) * 2048
    assert b"200 OK" in house.ask(method="POST", body=body)
    assert bodies == [body]


def test_an_early_answer_ends_the_sending_and_the_connection(start_gateway):
    def early(sock, head, rest):
        sock.sendall(answer(head, b"no", status="413 Large"))
        gevent.sleep(0.2)
        return b""

    house = start_gateway(early)
    sock = house.connect()
    sock.sendall(request("POST", 1, b"x" * 900_000)[:300_000])
    assert sock.recv(65536).startswith(b"HTTP/1.1 413 ")
    wait_until(lambda: not house.forwarder.sender.pool.idle)


def test_no_target_is_refused_at_once_with_a_time_to_return(start_gateway):
    house = start_gateway()
    began = time.monotonic()
    data = house.ask()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert time.monotonic() - began < 1.0


def test_a_host_without_configuration_says_not_run(start_gateway):
    house = start_gateway(serves)
    house.beliefs.configuration = None
    assert house.ask().startswith(b"HTTP/1.1 503 ")
    assert house.arrivals() == 0


def test_connections_to_targets_are_reused(start_gateway):
    house = start_gateway(serves)
    sock = house.connect()
    for number in range(5):
        sock.sendall(request(number=number))
        assert b"200 OK" in sock.recv(65536)
    assert house.forwarder.metrics.counters["target_connections"] == 1


def test_read_all_sees_a_clean_end(start_gateway):
    house = start_gateway(serves)
    assert b"<reset>" not in read_all_of(house)


def read_all_of(house):
    sock = house.connect()
    sock.sendall(request(more="Connection: close\r\n"))
    return read_all(sock)


def test_a_stopping_host_refuses_what_comes_too_late(start_gateway):
    house = start_gateway(serves)
    house.forwarder.is_stopping = True
    assert house.ask().startswith(b"HTTP/1.1 503 ")
    assert house.arrivals() == 0
