"""Phases of traffic: requests at a fixed rate to all machines in turn."""

import asyncio
import time
from collections.abc import Sequence

from standin_case import Record
from standin_clients import Answer, Clients
from standin_workers import Run

# Objects that requests concern.
OBJECTS = 24
# Routes of the deployment whose requests may be repeated, and those whose
# requests may not.
READS = ("/estado-pedido/7", "/lista-corte/3")
WRITES = ("/confirmar-encargo/7", "/entrega-cuero/3")


async def play_phase(
    name: str,
    record: Record,
    clients: Clients,
    ips: Sequence[str],
    *,
    seconds: float,
    per_s: float,
    paths: Sequence[str] = READS,
) -> list[Answer]:
    """Sends requests for some time; returns how they ended."""
    first = len(clients.answers)
    began = time.monotonic()
    number = 0
    while (now := time.monotonic()) < began + seconds:
        if now < began + number / per_s:
            await asyncio.sleep(began + number / per_s - now)
        path = paths[number // len(ips) % len(paths)]
        clients.send_later(
            ips[number % len(ips)],
            path,
            method="POST" if path in WRITES else "GET",
            affinity=str(number % OBJECTS),
        )
        number += 1
    await clients.finish()
    answers = clients.answers[first:]
    record_answers(record, answers)
    served = share_served(answers)
    record.write("phase", name=name, sent=len(answers), served=f"{served:.2f}")
    return answers


def share_served(answers: Sequence[Answer]) -> float:
    """Returns the share of requests that got their worker's whole answer."""
    return sum(answer.is_whole for answer in answers) / max(1, len(answers))


def record_answers(record: Record, answers: Sequence[Answer]) -> None:
    """Writes what was sent, and how it was answered."""
    for answer in answers:
        record.write(
            "answer",
            at=answer.sent_at,
            attempt=answer.attempt,
            host=answer.host,
            path=answer.path,
            body=answer.body_digest,
            status=answer.status,
            whole=int(answer.is_whole),
            took_s=f"{answer.took_s:.3f}",
        )


def record_runs(record: Record, runs: Sequence[Run]) -> None:
    """Writes the requests that reached workers."""
    for run in runs:
        record.write(
            "run",
            at=run.at,
            attempt=run.attempt,
            worker=run.worker,
            service=run.service,
            zone=run.zone,
            has_run=int(run.has_run),
            bytes=run.body_bytes,
            body=run.body_digest,
        )
