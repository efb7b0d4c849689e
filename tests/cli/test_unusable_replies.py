"""Replies and files that can't be read end no command with a traceback."""

import pytest
from gevent.server import StreamServer
from sardinewheel_cli import client, hosts_file
from sardinewheel_core.errors import SettingsError

from tests.platform.fakes import read_request

NESTED = b"[" * 100_000


@pytest.mark.parametrize("body", [NESTED, b"", b"{", b"\xff", b"9" * 5000])
def test_a_reply_that_can_not_be_read_is_an_error_of_the_host(body):
    def serve(sock, _address):
        read_request(sock, b"")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    reply = client.send_request(f"127.0.0.1:{server.server_port}", "GET", "/x")
    server.stop()
    assert reply.error


@pytest.mark.parametrize("content", [NESTED, b"", b"\xff"])
def test_a_file_of_hosts_that_can_not_be_read_is_a_finding(tmp_path, content):
    path = tmp_path / "hosts.json"
    path.write_bytes(content)
    with pytest.raises(SettingsError):
        hosts_file.read(path)
