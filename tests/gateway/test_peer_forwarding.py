"""Requests of a host that reaches no target are served by other hosts."""

import time

import gevent
import pytest

from tests.gateway.harness import (
    ScriptedTarget,
    never_responds,
    read_all,
    refuses_to_execute,
    request,
    response_to,
    sends_complete_response,
    truncates_response,
    wait_until,
)

LARGE = 300_000
NEXT_VERSION = 2


def closes_unanswered(sock, head, rest):
    """Script of a host: reads the request and closes the connection."""
    sock.close()


def refuses_as(reason):
    """Returns the script of a host that refuses requests."""

    def refuse(sock, head, rest):
        sock.sendall(
            "HTTP/1.1 503 Busy\r\n"
            f"Sardinewheel-Peer-Reason: {reason}\r\nRetry-After: 0.70\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        return rest

    return refuse


@pytest.fixture
def start_pair(start_gateway):
    """Returns a function that starts a host without a path, and another."""

    def start(*scripts, **fields):
        stranded = start_gateway(sends_complete_response, **fields)
        peer = start_gateway(*scripts, **fields)
        stranded.add_peer(peer.peer_address)
        stranded.lose_path()
        return stranded, peer

    return start


@pytest.fixture
def start_peers(start_gateway):
    """Returns a function that starts a host without a path and fake hosts."""
    servers = []

    def start(*scripts, **fields):
        stranded = start_gateway(sends_complete_response, **fields)
        for number, script in enumerate(scripts):
            servers.append(ScriptedTarget(script))
            stranded.add_peer(servers[-1].address, f"peer{number}")
        stranded.lose_path()
        return stranded, servers

    yield start
    for server in servers:
        server.server.stop()


def arrivals(servers):
    return sum(len(server.heads) for server in servers)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_another_host_serves_the_request(start_pair, is_idempotent):
    stranded, peer = start_pair(
        sends_complete_response, is_idempotent=is_idempotent
    )
    data = stranded.send_request(method="POST", body=b"order")
    assert data.startswith(b"HTTP/1.1 200 ")
    assert data.endswith(b"done")
    assert stranded.request_count() == 0
    assert peer.request_count() == 1


def test_headers_between_hosts_reach_neither_target_nor_caller(start_pair):
    stranded, peer = start_pair(sends_complete_response)
    data = stranded.send_request(extra_headers="X-Other: kept\r\n")
    (head,) = peer.targets["t0"].heads
    assert "sardinewheel-peer" not in head.lower()
    assert "X-Other: kept" in head or "x-other: kept" in head
    assert b"sardinewheel-peer" not in data.lower()


def test_large_bodies_are_streamed_both_ways(start_pair):
    def responds_with_large_body(sock, head, rest):
        received = len(rest)
        while received < LARGE:
            received += len(sock.recv(65536))
        sock.sendall(response_to(head, b"y" * LARGE))
        return b""

    stranded, _ = start_pair(responds_with_large_body, timeout_s=5.0)
    data = stranded.send_request(method="POST", body=b"x" * LARGE)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert data.endswith(b"\r\n\r\n" + b"y" * LARGE)


def chunked_upload(body):
    """Returns the bytes of a request whose body is sent in chunks."""
    head = request("POST", extra_headers="Transfer-Encoding: chunked\r\n")
    size = len(body) // 10
    chunks = (body[i : i + size] for i in range(0, len(body), size))
    framed = (b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + b"".join(framed) + b"0\r\n\r\n"


@pytest.mark.parametrize("is_read", [True, False])
def test_an_upload_that_another_host_refused_is_not_run_truncated(
    start_peers, is_read
):
    def refuses_when_the_path_is_back(sock, head, rest):
        while is_read and not rest.endswith(b"0\r\n\r\n"):
            rest = rest[-8:] + sock.recv(65536)
        stranded.reachability.is_lost = False
        refuses_as("host-busy")(sock, head, b"")
        return b""

    stranded, _ = start_peers(refuses_when_the_path_is_back, timeout_s=5.0)
    sock = stranded.connect()
    sock.sendall(chunked_upload(b"x" * LARGE))
    assert sock.recv(65536).startswith(b"HTTP/1.1 503 ")
    assert stranded.request_count() == 0


def test_an_upload_is_sent_whole_after_a_host_that_can_not_be_reached(
    start_gateway,
):
    received = []

    def reads_upload(sock, head, rest):
        while not rest.endswith(b"0\r\n\r\n"):
            rest += sock.recv(65536)
        received.append(rest.count(b"x"))
        return sends_complete_response(sock, head, b"")

    stranded = start_gateway(reads_upload, timeout_s=5.0)
    stranded.add_peer("127.0.0.1:9")
    stranded.reachability.changed_at = time.monotonic()
    stranded.forwarder.routing_state.rng.random = lambda: 1.0
    sock = stranded.connect()
    sock.sendall(chunked_upload(b"x" * LARGE))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert received == [LARGE]


def test_a_truncated_response_never_looks_complete(start_pair):
    def truncates_large_response(sock, head, rest):
        sock.sendall(response_to(head, b"y" * LARGE)[:-50])
        sock.close()

    stranded, _ = start_pair(truncates_large_response)
    data = stranded.send_request()
    assert data.count(b"y") < LARGE
    assert f"content-length: {LARGE}".encode() in data.lower()


def test_a_forwarded_request_is_never_forwarded_again(start_gateway):
    first, second = start_gateway(), start_gateway()
    for host, other in ((first, second), (second, first)):
        host.add_peer(other.peer_address)
        host.lose_path()
    began = time.monotonic()
    data = first.send_request()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0" in data.lower()
    assert time.monotonic() - began < 0.5
    assert "peer-attempt-ended" not in "".join(second.lines())


def test_a_host_without_targets_does_not_forward_what_was_forwarded_to_it(
    start_gateway,
):
    first, second = start_gateway(), start_gateway(sends_complete_response)
    third = start_gateway(sends_complete_response)
    first.add_peer(second.peer_address)
    first.lose_path()
    second.add_peer(third.peer_address)
    second.targets["t0"].server.stop()
    assert first.send_request().startswith(b"HTTP/1.1 503 ")
    assert "peer-attempt-ended" not in "".join(second.lines())
    assert third.request_count() == 0
    # The second host forwards its own requests: it was able to.
    second.send_request(number=2)
    assert third.request_count() == 1


def test_refused_at_once_if_no_other_host_reaches_targets(start_gateway):
    stranded = start_gateway(never_responds)
    stranded.add_peer("127.0.0.1:1", reaches_targets=False)
    stranded.lose_path()
    began = time.monotonic()
    data = stranded.send_request()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert time.monotonic() - began < 0.5
    assert "reason=path-lost" in "".join(stranded.lines())


@pytest.mark.parametrize("reason", ["stopping", "path-lost", "targets-down"])
def test_a_second_host_serves_what_the_first_can_not(start_peers, reason):
    def serve(sock, head, rest):
        sock.sendall(
            response_to(head, extra_headers="Sardinewheel-Peer-Target: t0\r\n")
        )
        return rest

    served = 0
    stranded, _ = start_peers(refuses_as(reason), serve, is_idempotent=False)
    for number in range(5):
        data = stranded.send_request(method="POST", number=number)
        served += data.startswith(b"HTTP/1.1 200 ")
    assert served == 5


def test_the_refusal_of_another_host_is_passed_on(start_peers):
    stranded, servers = start_peers(
        refuses_as("overload"), refuses_as("overload")
    )
    data = stranded.send_request()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0.70" in data.lower()
    assert arrivals(servers) == 1


def test_a_request_that_may_run_once_is_not_sent_to_two_hosts(start_peers):
    stranded, servers = start_peers(
        closes_unanswered, closes_unanswered, is_idempotent=False
    )
    data = stranded.send_request(method="POST")
    assert data.startswith(b"HTTP/1.1 502 ")
    assert arrivals(servers) == 1


def test_a_lost_request_counts_as_an_attempt_at_the_next_host(start_peers):
    stranded, servers = start_peers(
        closes_unanswered, closes_unanswered, closes_unanswered, max_attempts=2
    )
    data = stranded.send_request()
    assert data.startswith(b"HTTP/1.1 502 ")
    assert arrivals(servers) == 2
    heads = [head.lower() for x in servers for head in x.heads]
    assert sum("sardinewheel-peer-tried: peer" in head for head in heads) == 1


def test_a_request_that_its_target_lost_ends_as_unknown(start_pair):
    stranded, peer = start_pair(truncates_response, is_idempotent=False)
    assert stranded.send_request(method="POST").startswith(b"HTTP/1.1 502 ")
    assert peer.request_count() == 1


def test_attempts_of_both_hosts_count_together(start_pair):
    _, peer = start_pair(refuses_to_execute, refuses_to_execute, max_attempts=2)
    sock = gevent.socket.create_connection(
        ("127.0.0.1", peer.peer_server.listener.server_port)
    )
    headers = (
        "Sardinewheel-Peer-Sender: a\r\nSardinewheel-Peer-Age-Ms: 0\r\n"
        "Sardinewheel-Peer-Version: 1\r\nSardinewheel-Peer-Tried: t7\r\n"
        "Connection: close\r\n"
    )
    sock.sendall(request(extra_headers=headers))
    assert read_all(sock).startswith(b"HTTP/1.1 503 ")
    assert peer.request_count() == 1


def test_the_deadline_counts_from_the_first_host(start_pair):
    stranded, peer = start_pair(never_responds, timeout_s=0.4)
    began = time.monotonic()
    assert stranded.send_request().startswith(b"HTTP/1.1 504 ")
    assert time.monotonic() - began < 1.0
    head = peer.targets["t0"].heads[0].lower()
    assert float(head.split("x-remaining: ")[1].split("\r")[0]) <= 0.4


def test_a_host_with_an_older_configuration_does_not_act(start_pair):
    stranded, peer = start_pair(sends_complete_response)
    configuration = stranded.routing_state.configuration
    stranded.routing_state.configure(
        configuration._replace(version=NEXT_VERSION)
    )
    assert stranded.send_request().startswith(b"HTTP/1.1 503 ")
    assert peer.request_count() == 0


def test_requests_with_home_regions_are_not_sent_out_of_them(start_gateway):
    homes = frozenset({"south"})
    peer = start_gateway(sends_complete_response)
    stranded = start_gateway(never_responds, home_regions=homes)
    stranded.add_peer(peer.peer_address, region="east")
    stranded.lose_path()
    assert stranded.send_request().startswith(b"HTTP/1.1 503 ")
    assert peer.request_count() == 0


def test_a_caller_that_leaves_ends_the_request_at_both_hosts(start_pair):
    stranded, peer = start_pair(never_responds, timeout_s=5.0)
    sock = stranded.connect()
    sock.sendall(request())
    wait_until(lambda: peer.request_count() == 1)
    sock.close()
    wait_until(lambda: not stranded.front.in_progress)
    wait_until(lambda: not peer.peer_server.in_progress)


def test_a_request_is_counted_for_the_retry_budget_of_one_host(start_pair):
    stranded, peer = start_pair(sends_complete_response)
    stranded.send_request()
    counts = [
        len(host.routing_state.budgets["orders"].requests)
        for host in (stranded, peer)
    ]
    assert counts == [0, 1]


def test_the_first_host_learns_what_the_target_announces(start_pair):
    def names_limit(sock, head, rest):
        sock.sendall(response_to(head, extra_headers="X-Limit: 2\r\n"))
        return rest

    stranded, _ = start_pair(names_limit)
    stranded.send_request()
    assert "t0" in stranded.routing_state.announcements.limits


def test_targets_that_only_this_host_can_not_reach_do_not_stop_requests(
    start_gateway,
):
    peer = start_gateway(sends_complete_response)
    host = start_gateway(sends_complete_response)
    host.add_peer(peer.peer_address)
    host.targets["t0"].server.stop()
    for number in range(5):
        data = host.send_request(number=number)
        assert data.startswith(b"HTTP/1.1 200 ")
    assert peer.request_count() == 5


def test_a_request_without_the_headers_of_a_host_is_refused(start_gateway):
    peer = start_gateway(sends_complete_response)
    sock = gevent.socket.create_connection(
        ("127.0.0.1", peer.peer_server.listener.server_port)
    )
    sock.sendall(request(extra_headers="Connection: close\r\n"))
    assert read_all(sock).startswith(b"HTTP/1.1 400 ")
    assert peer.request_count() == 0


@pytest.mark.parametrize(
    ("is_idempotent", "status"), [(True, b"200"), (False, b"504")]
)
def test_requests_under_way_on_a_silent_path_move_if_they_may_be_repeated(
    start_gateway, is_idempotent, status
):
    fields = {"is_idempotent": is_idempotent, "timeout_s": 2.0}
    scripts = [sends_complete_response] * 2
    peer = start_gateway(*scripts, **fields)
    host = start_gateway(never_responds, **fields)
    host.add_peer(peer.peer_address)
    sock = host.connect()
    sock.sendall(request(extra_headers="Connection: close\r\n"))
    wait_until(lambda: host.request_count() == 1)
    host.forwarder.path_monitor.on_silence()
    host.lose_path()
    assert read_all(sock).startswith(b"HTTP/1.1 " + status)
    assert peer.request_count() == is_idempotent


def test_a_host_without_peers_offers_requests_on_open_connections_only(
    start_gateway,
):
    host = start_gateway(sends_complete_response, sends_complete_response)
    sock = host.connect()
    sock.sendall(request())
    wait_until(lambda: host.forwarder.sender.pool.idle)
    for target in host.targets.values():
        target.server.close()
    host.lose_path()
    for number in range(5):
        data = host.send_request(number=number)
        assert data.startswith(b"HTTP/1.1 200 ")
    assert "target-failed" not in "".join(host.lines())


def test_open_connections_of_a_silent_path_are_not_used(start_gateway):
    host = start_gateway(sends_complete_response)
    sock = host.connect()
    sock.sendall(request())
    wait_until(lambda: host.forwarder.sender.pool.idle)
    host.lose_path()
    host.forwarder.path_monitor.on_silence()
    assert host.send_request(number=2).startswith(b"HTTP/1.1 503 ")
    assert host.request_count() == 1
