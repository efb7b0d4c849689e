"""CONFIG: an entry of another writer with a service that nobody named.

Six machines of two regions serve two services. With the disruption, another
writer leaves an entry in the workers' table whose service is not named in the
configuration. Later the operator moves a route to the other service.
"""

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
PER_S = 40
MIN_SERVED = 0.25
# The configuration has grown by some routes.
IDLE_ROUTES = 20
MOVED_ROUTE = "estado-pedido"
PATHS = (f"/{MOVED_ROUTE}/7",)
# The bounds of the site.
CONTACT_S = 4.0
CONFIG_APPLY_S = 2.5
OBSERVED_S = 15.0
# A JSON text of a record; the name of the service is half of a UTF-16 pair.
OTHER_ENTRY = (
    b'{"Service":"\\ud800","Address":"127.0.0.1:9","Zone":"quito-curtiembre",'
    b'"CfgVersion":"v1","Slots":3,"OperState":"in_service","ColdLeft":"0ms",'
    b'"Sequence":1}'
)


async def play(record: Record, folder: Path) -> bool:
    """Plays the case; returns whether the rule held."""
    store = Store("127.0.0.1")
    await store.start()
    operator = Operator(store, idle_routes=IDLE_ROUTES)
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
        if await _serve(record, clients, fleet, CONTACT_S, "calm") < MIN_SERVED:
            raise CaseError("too few requests were served in calm times")
        if record.has_trouble:
            store.put("servers", "i-other", OTHER_ENTRY)
            record.write("entry-of-another-writer", value=OTHER_ENTRY)
        await _serve(record, clients, fleet, 2 * CONTACT_S, "with-entry")
        moved_at = time.monotonic()
        operator.configure(services={MOVED_ROUTE: WORKSHOP})
        record.write("configuration-accepted", version=operator.version)
        await _serve(record, clients, fleet, OBSERVED_S, "moved")
    finally:
        fleet.stop()
    sent = {answer.attempt: answer for answer in clients.answers}
    record_runs(record, runs)
    late = [
        run
        for run in runs
        if run.service == ORDERS
        and sent[run.attempt].sent_at > moved_at + CONFIG_APPLY_S
    ]
    hosts = sorted({sent[run.attempt].host for run in late})
    last = max((sent[run.attempt].sent_at for run in late), default=moved_at)
    for machine in fleet.machines:
        missed = machine.log_lines("update-not-received")
        failed = machine.log_lines("handler-failed")
        record.write(
            "log",
            machine=machine.name,
            ip=machine.ip,
            update_not_received=len(missed),
            handler_failed=len(failed),
        )
        for line in (*missed[:1], *failed[:1]):
            record.write("log-line", text=line)
    record.say(
        f"requests sent later than ConfigApply that the old service ran:"
        f" {len(late)}, through {len(hosts)} of {len(fleet.machines)} machines;"
        f" the last one {last - moved_at:.1f} s after the acknowledgement"
    )
    return not late


async def _serve(
    record: Record, clients: Clients, fleet: Fleet, seconds: float, name: str
) -> float:
    """Sends requests for some time; returns the share that was served."""
    answers = await play_phase(
        name,
        record,
        clients,
        fleet.ips,
        seconds=seconds,
        per_s=PER_S,
        paths=PATHS,
    )
    return share_served(answers)


if __name__ == "__main__":
    main(HERE, play)
