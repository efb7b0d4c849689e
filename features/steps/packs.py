"""Steps in which directors open packs."""

import itertools

from behave import then, when
from sardinewheel_entry import headers

PACK_BYTES = (10, 1_000, 100_000, 400_000)


def open_pack(context, seat, *, request_id, pack):
    response = context.cluster.request(seat, request_id=request_id, body=pack)
    return pack, response


@when("{count:d} directors open packs of different sizes concurrently")
def open_packs(context, count):
    seats = itertools.cycle(context.cluster.addresses)
    sizes = itertools.cycle(PACK_BYTES)

    def send(item):
        number, seat, size = item
        name = f"director-{number} ".encode()
        pack = (name * (size // len(name) + 1))[:size]
        request_id = f"pack-{number}"
        return open_pack(context, seat, request_id=request_id, pack=pack)

    items = zip(range(count), seats, sizes, strict=False)
    context.packs = list(context.callers.map(send, items))


@when("two directors use the same request id for different packs")
def reuse_request_id(context):
    futures = [
        context.callers.submit(
            open_pack, context, seat, request_id="same", pack=pack
        )
        for seat, pack in (("quito-1", b"first"), ("quito-1", b"second"))
    ]
    context.packs = [future.result() for future in futures]


@then("each director who received a pack received their own complete pack")
def received_own_pack(context):
    received = 0
    for pack, response in context.packs:
        if response.headers[headers.OUTCOME.lower()] == "done":
            received += 1
            assert response.body == b"done " + pack, response.body[:80]
    assert received > 0
