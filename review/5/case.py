"""DRAIN: workers are taken away while machines start again.

Four machines of one region serve two services with more workers than the store
lists in one answer. A quarter of the workers of one service say that they leave
and go some seconds later. With the disruption, all processes of the machines
have been killed just before, and start again at that moment.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.append(str(HERE.parent))

from standin_case import CaseError, Record, main  # noqa: E402
from standin_clients import Clients  # noqa: E402
from standin_machines import Fleet, free_network  # noqa: E402
from standin_operator import (  # noqa: E402
    HOST_NAME,
    ORDERS,
    WORKSHOP,
    Operator,
)
from standin_store import Store  # noqa: E402
from standin_traffic import record_answers, record_runs, share_served  # noqa: E402
from standin_workers import Run, Worker  # noqa: E402

ZONES = {
    "quito-curtiembre": "sierra-norte",
    "quito-bodega": "sierra-norte",
    "cuenca-centro": "austro",
    "cuenca-taller": "austro",
}
MACHINE_ZONES = ["cuenca-centro", "cuenca-centro", "cuenca-centro"]
MACHINE_ZONES += ["cuenca-taller"]
WORKER_ZONES = ("cuenca-centro", "cuenca-taller")
# More than the 500 rows of one answer, fewer than the site's 539.
WORKERS = {ORDERS: 290, WORKSHOP: 220}
WORK_S = 0.1
KEEP_ALIVE_S = 2
# The store stands in another region.
ONE_WAY_S = 0.035
# The bounds of the site.
CONTACT_S = 4.0
DRAIN_S = 4.0
BOUNDS = {
    "Ack": "6000ms",
    "CatchUp": "6s",
    "Drain": "4000ms",
    "Grace": "10s",
    "ConfigApply": "4000ms",
    "RetrySlack": "430",
    "ColdSlack": "10",
}
# A quarter of the workers of the service is taken away. Each says so with its
# next heartbeat.
LEAVING_SHARE = 0.25
HEARTBEAT_S = 1.5
# A worker goes on for `Drain` and a little longer, at times many seconds.
LEAVE_S = DRAIN_S + 14.0
DOWN_S = 1.0
PATH = "/estado-pedido/7"
PER_S = 60
OBJECTS = 20_000
MIN_SERVED = 0.25
CALM_S = 5.0
OBSERVED_S = LEAVE_S + HEARTBEAT_S + 2.0


class ScaleIn:
    """Takes workers away.

    Attributes:
        accepted: When the store accepted that a worker leaves, by its id.
    """

    def __init__(self, workers: list[Worker]):
        count = int(LEAVING_SHARE * len(workers))
        self.workers = random.sample(workers, count)
        self.accepted: dict[str, float] = {}

    async def run(self) -> None:
        """Lets the workers say that they leave, and leave."""
        gap_s = HEARTBEAT_S / len(self.workers)
        began = time.monotonic()
        for number, worker in enumerate(self.workers, 1):
            self.accepted[worker.worker_id] = worker.drain()
            await asyncio.sleep(
                max(0.0, began + number * gap_s - time.monotonic())
            )
        await asyncio.sleep(LEAVE_S - HEARTBEAT_S)
        for worker in self.workers:
            worker.stop()


async def _restart(fleet: Fleet, record: Record) -> float:
    """Kills all processes and starts them; returns when they were started."""
    for machine in fleet.machines:
        machine.kill()
    record.write("killed", machines=len(fleet.machines))
    await asyncio.sleep(DOWN_S)
    fleet.start()
    record.write("started", machines=len(fleet.machines))
    return time.monotonic()


async def _start_worker(
    store: Store, runs: list[Run], service: str, zone: str
) -> Worker:
    worker = Worker(
        store,
        runs,
        service=service,
        zone=zone,
        host="127.0.0.1",
        work_s=WORK_S,
        keep_alive_s=KEEP_ALIVE_S,
    )
    await worker.start()
    return worker


async def play(record: Record, folder: Path) -> bool:
    """Plays the case; returns whether the rule held."""
    store = Store("127.0.0.1", one_way_s=ONE_WAY_S)
    await store.start()
    Operator(store).configure()
    runs: list[Run] = []
    workers = [
        await _start_worker(
            store, runs, service, WORKER_ZONES[number % len(WORKER_ZONES)]
        )
        for service, count in WORKERS.items()
        for number in range(count)
    ]
    fleet = Fleet(
        folder,
        store,
        free_network(),
        zones=ZONES,
        machine_zones=MACHINE_ZONES,
        bounds=BOUNDS,
    )
    clients = Clients(host_name=HOST_NAME, front_port=fleet.front_port)
    scale_in = ScaleIn([x for x in workers if x.service == ORDERS])
    started_at = time.monotonic()
    try:
        fleet.start()
        if not await fleet.wait_until_ready():
            raise CaseError("the machines did not become ready")
        record.write("machines-ready", workers=len(workers))
        traffic = asyncio.create_task(_send(clients, fleet))
        await asyncio.sleep(CALM_S)
        if share_served(clients.answers) < MIN_SERVED:
            raise CaseError("too few requests were served in calm times")
        if record.has_trouble:
            started_at = await _restart(fleet, record)
        leaving = asyncio.create_task(scale_in.run())
        await asyncio.sleep(OBSERVED_S)
        traffic.cancel()
        await leaving
        await clients.finish()
    finally:
        fleet.stop()
    for at, table, start in store.reads:
        record.write("list-rows", at=at, table=table, start=repr(start))
    return _check(record, clients, runs, scale_in, started_at)


async def _send(clients: Clients, fleet: Fleet) -> None:
    """Sends requests to all machines that run, in turn."""
    number = 0
    began = time.monotonic()
    while True:
        machine = fleet.machines[number % len(fleet.machines)]
        if machine.is_running:
            clients.send_later(
                machine.ip, PATH, affinity=str(random.randrange(OBJECTS))
            )
        number += 1
        await asyncio.sleep(max(0.0, began + number / PER_S - time.monotonic()))


def _check(
    record: Record,
    clients: Clients,
    runs: list[Run],
    scale_in: ScaleIn,
    started_at: float,
) -> bool:
    sent = {answer.attempt: answer for answer in clients.answers}
    for worker_id, accepted_at in scale_in.accepted.items():
        record.write("leaving-accepted", at=accepted_at, worker=worker_id)
    record_answers(record, clients.answers)
    record_runs(record, runs)
    in_touch_at = started_at + CONTACT_S
    late = []
    for run in runs:
        accepted_at = scale_in.accepted.get(run.worker)
        if accepted_at is None or run.at <= accepted_at + DRAIN_S:
            continue
        answer = sent[run.attempt]
        if answer.sent_at < in_touch_at:
            continue
        late.append(run)
        record.write(
            "late-run",
            at=run.at,
            attempt=run.attempt,
            worker=run.worker,
            accepted_s=f"{run.at - accepted_at:.2f}",
            host=answer.host,
        )
    record.write("served", share=f"{share_served(clients.answers):.3f}")
    record.say(
        f"requests that reached a leaving worker later than Drain, from"
        f" machines in touch: {len(late)}, at"
        f" {len({run.worker for run in late})} of {len(scale_in.accepted)}"
    )
    return not late


if __name__ == "__main__":
    main(HERE, play)
