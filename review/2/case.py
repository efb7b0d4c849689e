"""RECOVER: an entry of another writer that cannot be read.

Six machines of two regions serve two services. With the disruption, another
writer leaves an entry in the workers' table that cannot be read. Then all
processes are killed and started again, as in a final fault, and clients go on.
"""

import asyncio
import sys
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
from standin_traffic import play_phase, record_runs, share_served  # noqa: E402
from standin_workers import Run, Worker  # noqa: E402

ZONES = {
    "quito-curtiembre": "sierra-norte",
    "quito-bodega": "sierra-norte",
    "cuenca-centro": "austro",
    "cuenca-taller": "austro",
}
MACHINE_ZONES = [
    "quito-curtiembre",
    "quito-curtiembre",
    "quito-bodega",
    "cuenca-centro",
    "cuenca-centro",
    "cuenca-taller",
]
WORKERS_PER_ZONE = 2
PER_S = 20
CALM_S = 8.0
DOWN_S = 1.0
# The bound `Recovery`, and how long requests are counted after it.
RECOVERY_S = 15.0
COUNTED_S = 10.0
MIN_SERVED = 0.25
# A text of nested arrays; far below `RowBytes` (65,536).
UNREADABLE = b"[" * 4096


async def play(record: Record, folder: Path) -> bool:
    """Plays the case; returns whether the rule held."""
    store = Store("127.0.0.1")
    await store.start()
    operator = Operator(store)
    operator.configure()
    runs: list[Run] = []
    for service in (ORDERS, WORKSHOP):
        for zone in ZONES:
            for _ in range(WORKERS_PER_ZONE):
                worker = Worker(
                    store, runs, service=service, zone=zone, host="127.0.0.1"
                )
                await worker.start()
    fleet = Fleet(
        folder, store, free_network(), zones=ZONES, machine_zones=MACHINE_ZONES
    )
    clients = Clients(host_name=HOST_NAME, front_port=fleet.front_port)
    try:
        fleet.start()
        if not await fleet.wait_until_ready():
            raise CaseError("the machines did not become ready")
        record.write("machines-ready", count=len(fleet.machines))
        before = await _serve(record, clients, fleet, CALM_S, "calm")
        if before < MIN_SERVED:
            raise CaseError(f"only {before:.2f} were served in calm times")
        if record.has_trouble:
            store.put("servers", "i-other", UNREADABLE)
            record.write("unreadable-entry", size=len(UNREADABLE))
            await _serve(record, clients, fleet, CALM_S, "with-entry")
        operator.configure()
        record.write("final-fault", how="kill_all", version=operator.version)
        for machine in fleet.machines:
            machine.kill()
        await asyncio.sleep(DOWN_S)
        fleet.start()
        record.write("machines-back")
        await _serve(record, clients, fleet, RECOVERY_S, "recovery")
        ready = await fleet.count_ready()
        after = await _serve(record, clients, fleet, COUNTED_S, "after")
    finally:
        fleet.stop()
    record_runs(record, runs)
    for machine in fleet.machines:
        failures = machine.log_lines("task-failed")
        record.write("log", machine=machine.name, task_failed=len(failures))
        for line in failures[:1]:
            record.write("log-line", text=line)
    record.say(
        f"served: {before:.2f} before the final fault, {after:.2f} later than"
        f" Recovery after it; machines ready: {ready} of {len(fleet.machines)}"
    )
    return after >= MIN_SERVED


async def _serve(
    record: Record, clients: Clients, fleet: Fleet, seconds: float, name: str
) -> float:
    """Sends requests for some time; returns the share that was served."""
    answers = await play_phase(
        name, record, clients, fleet.ips, seconds=seconds, per_s=PER_S
    )
    return share_served(answers)


if __name__ == "__main__":
    main(HERE, play)
