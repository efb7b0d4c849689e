"""Tests of the platform stand-in and its failure modes."""

import json

import pytest
from sardinewheel_testing.processes import (
    free_address,
    http,
    start_stand_in,
    wait_until,
)

JSON = {"Content-Type": "application/json"}


@pytest.fixture
def platform(tmp_path):
    address = free_address()
    process = start_stand_in("platform", address, log_file=tmp_path / "log")
    try:
        wait_until(lambda: http("GET", address, "/control"))
        yield address
    finally:
        process.stop()


def call(address, method, path, fields):
    body = json.dumps(fields).encode()
    return http(method, address, path, body=body, headers=JSON)


def transact(address, change_id, version):
    fields = {
        "change_id": change_id,
        "checks": [["head", version]],
        "writes": [["head", change_id]],
    }
    return call(address, "POST", "/v1/table/transact", fields).media


def read(address):
    rows = call(address, "POST", "/v1/table/read", {"keys": ["head"]})
    return rows.media["rows"][0]


def test_lost_response_keeps_the_write(platform):
    call(platform, "PUT", "/control", {"mode": "lose-answers", "count": 1})
    with pytest.raises(OSError):
        transact(platform, "c-1", 0)
    assert read(platform) == {"key": "head", "version": 1, "value": "c-1"}
    assert transact(platform, "c-1", 0)["committed"]
    assert read(platform)["version"] == 1


def test_conflict_returns_the_current_row(platform):
    assert transact(platform, "c-1", 0)["committed"]
    rejected = transact(platform, "c-2", 0)
    assert not rejected["committed"]
    assert rejected["rows"][0]["value"] == "c-1"


def test_down_platform_carries_out_no_write(platform):
    call(platform, "PUT", "/control", {"mode": "down", "count": 1})
    with pytest.raises(OSError):
        transact(platform, "c-1", 0)
    assert read(platform)["version"] == 0


def test_object_calls_are_counted(platform):
    http("PUT", platform, "/v1/objects/a", body=b"bytes")
    assert http("GET", platform, "/v1/objects/a").body == b"bytes"
    counters = http("GET", platform, "/control").media
    assert (counters["reads"], counters["writes"]) == (1, 1)


def test_host_list_lags(platform):
    hosts = {"hosts": [{"name": "t1", "state": "leaving"}]}
    call(platform, "PUT", "/v1/hosts", hosts)
    assert http("GET", platform, "/v1/hosts").media == hosts
    call(platform, "PUT", "/control", {"list_lag_s": 3600.0})
    assert http("GET", platform, "/v1/hosts").media == {"hosts": []}
