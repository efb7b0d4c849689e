"""Steps in which directors open packs."""

import itertools

from behave import then, when
from sardinewheel_entry import headers

PACK_BYTES = (10, 1_000, 100_000, 400_000)


def open_pack(context, seat, *, request_id, pack):
    reply = context.cluster.request(seat, request_id=request_id, body=pack)
    return pack, reply


@when("{count:d} directors open packs of different sizes at the same moment")
def open_packs(context, count):
    seats = itertools.cycle(context.cluster.addresses)
    sizes = itertools.cycle(PACK_BYTES)

    def send(entry):
        number, seat, size = entry
        name = f"director-{number} ".encode()
        pack = (name * (size // len(name) + 1))[:size]
        request_id = f"pack-{number}"
        return open_pack(context, seat, request_id=request_id, pack=pack)

    entries = zip(range(count), seats, sizes, strict=False)
    context.packs = list(context.callers.map(send, entries))


@when("two directors use the same request id for different packs")
def same_id(context):
    futures = [
        context.callers.submit(
            open_pack, context, seat, request_id="same", pack=pack
        )
        for seat, pack in (("quito-1", b"first"), ("quito-1", b"second"))
    ]
    context.packs = [future.result() for future in futures]


@then("each director who got a pack got their own complete pack")
def whole_own_pack(context):
    done = 0
    for pack, reply in context.packs:
        if reply.headers[headers.OUTCOME.lower()] == "done":
            done += 1
            assert reply.body == b"done " + pack, reply.body[:80]
    assert done > 0
