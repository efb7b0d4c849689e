"""Finds the requests that crash the targets that run them.

Designed for a request that ends each target which begins to run it and comes
again at any host, beside other requests that are lost with these targets, and
for targets that end by themselves.

A target that ends takes all requests that it runs with it, so a single end
shows nothing. A request is refused once it was lost with several targets, some
of them one after another, without a run that ended well since, and if no other
request explains these ends better. An end is explained by a refused request
that ran there: the others beside it are not suspected for that.
"""

from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from sardinewheel_gateway.policy.targets import TargetRecord

# Ends of targets after which a request is refused.
REFUSED_AFTER = 3
# The same if another request was lost with most of these targets too.
REFUSED_WITH_RIVAL_AFTER = 5
# Ends of targets after which a request is not sent to another target within
# the same attempt of its caller.
NOT_REPEATED_AFTER = 2
# Shared ends that make another request a rival.
RIVAL_SHARED = 2
# Time for other hosts to tell what they lost with the same target.
SETTLE_S = 0.3
# Times that other hosts tell seem later by the delay of the network, with each
# host that passes them on.
MAX_TIME_ERROR_S = 0.5
MAX_SUSPECTS = 512
MAX_RUNS = 8
MAX_REFUSED = 2048
MAX_EXPLAINED = 4096
MAX_COMPLETED = 2048
SUSPICION_EXPIRY_S = 600.0
# Time without such a request, at any host, after which it is forgotten.
REFUSAL_EXPIRY_S = 3600.0


class TargetStart(NamedTuple):
    """One incarnation of a target.

    Attributes:
        target_id: Id of the target.
        started_ms: Start of its process, see ``TargetRecord``.
    """

    target_id: str
    started_ms: int

    @classmethod
    def of(cls, record: TargetRecord) -> "TargetStart":
        """Returns the incarnation that wrote a record."""
        return cls(record.target_id, record.started_ms)


class Run(NamedTuple):
    """A run of a request that ended with its target.

    Attributes:
        target: The target.
        began: Time at which the request was sent to it, in seconds of the
            monotonic clock.
        ended: Time at which the target was last known to run.
    """

    target: TargetStart
    began: float
    ended: float


class Refusal(NamedTuple):
    """A request that is refused.

    Attributes:
        since: Time from which it is refused, in seconds of the monotonic clock.
        asked_at: Time at which it last came, at any host.
        losses: Targets that are known to have ended under it.
    """

    since: float
    asked_at: float
    losses: int


class CrashSuspects:
    """Requests that were lost with targets, by their digest.

    Attributes:
        runs: Runs that ended with their target; the request whose last such
            run is the longest ago comes first.
        refused: Requests that are refused.
        explained: Targets that ended while they ran a refused request.
        completed: Time of the last run that ended well, the latest last.
    """

    def __init__(self):
        self.runs: dict[str, dict[TargetStart, Run]] = {}
        self.refused: dict[str, Refusal] = {}
        self.explained: dict[TargetStart, None] = {}
        self.completed: dict[str, float] = {}

    def loss_count(self, digest: str) -> int:
        """Returns the unexplained ends of targets that ran a request."""
        runs = self.runs.get(digest)
        return 0 if runs is None else len(self._unexplained(runs))

    def is_repeat_unsafe(self, digest: str) -> bool:
        """Returns whether a lost request may cost yet another target."""
        return self.loss_count(digest) >= NOT_REPEATED_AFTER

    def record_loss(self, digest: str, run: Run) -> bool:
        """Records a run that ended with its target; returns whether it is new.

        It shows nothing if a run of the same request ended well since, or if a
        refused request ran there too.
        """
        if digest in self.refused:
            is_new = run.target not in self.explained
            self._explain([run.target])
            return is_new
        if run.ended <= self._cleared_until(digest):
            return False
        known = self.runs.get(digest, {})
        if run.target in known or run.target in self.explained:
            return False
        self.runs.pop(digest, None)
        unexplained = {x.target: x for x in self._unexplained(known)}
        self.runs[digest] = unexplained | {run.target: run}
        _keep_latest(self.runs[digest], MAX_RUNS)
        _keep_latest(self.runs, MAX_SUSPECTS)
        return True

    def record_completion(self, digest: str, now: float) -> bool:
        """Records a run that ended well; returns whether that clears it."""
        self.completed.pop(digest, None)
        self.completed[digest] = now
        _keep_latest(self.completed, MAX_COMPLETED)
        return self._clear(digest, now)

    def refuse(self, digest: str, refusal: Refusal) -> bool:
        """Refuses a request from now on; returns whether that is new.

        A refusal that is older than a run which ended well is ignored.
        """
        if refusal.since <= self._cleared_until(digest):
            return False
        known = self.refused.pop(digest, None)
        if known is not None:
            refusal = Refusal(
                min(known.since, refusal.since),
                max(known.asked_at, refusal.asked_at),
                max(known.losses, refusal.losses),
            )
        self.refused[digest] = refusal
        _keep_latest(self.refused, MAX_REFUSED)
        self._explain(self.runs.pop(digest, ()))
        return known is None

    def is_refused(self, digest: str, now: float) -> bool:
        """Returns whether a request that has come is refused."""
        refusal = self.refused.pop(digest, None)
        if refusal is None:
            return False
        self.refused[digest] = refusal._replace(asked_at=now)
        return True

    def decide(self, now: float) -> list[str]:
        """Refuses the requests that the evidence suffices for."""
        decided = []
        by_losses = sorted(
            (digest for digest in self.runs if self.loss_count(digest) > 1),
            key=self.loss_count,
            reverse=True,
        )
        for digest in by_losses:
            runs = self._unexplained(self.runs[digest])
            if not self._is_guilty(digest, runs, now):
                continue
            self.refuse(digest, Refusal(now, now, len(runs)))
            decided.append(digest)
        return decided

    def expire(self, now: float) -> list[str]:
        """Drops old entries; returns the requests refused no longer."""
        old = [
            digest
            for digest, runs in self.runs.items()
            if now - max(run.ended for run in runs.values())
            > SUSPICION_EXPIRY_S
        ]
        for digest in old:
            del self.runs[digest]
        forgotten = [
            digest
            for digest, refusal in self.refused.items()
            if now - refusal.asked_at > REFUSAL_EXPIRY_S
        ]
        for digest in forgotten:
            del self.refused[digest]
        return forgotten

    def _is_guilty(self, digest: str, runs: list[Run], now: float) -> bool:
        if now <= self._cleared_until(digest):
            return False
        settled = [run for run in runs if now - run.ended >= SETTLE_S]
        if len(settled) < REFUSED_AFTER or not _has_sequence(settled):
            return False
        if len(settled) >= REFUSED_WITH_RIVAL_AFTER:
            return True
        targets = {run.target for run in runs}
        return not any(
            len(rival) >= len(runs)
            and sum(run.target in targets for run in rival) >= RIVAL_SHARED
            for rival in self._others(digest)
        )

    def _cleared_until(self, digest: str) -> float:
        """Returns the time of the last event that a good run refutes."""
        completed_at = self.completed.get(digest, float("-inf"))
        return completed_at + MAX_TIME_ERROR_S

    def _others(self, digest: str) -> Iterator[list[Run]]:
        """Yields the unexplained runs of each other request."""
        for other, runs in self.runs.items():
            if other != digest:
                yield self._unexplained(runs)

    def _unexplained(self, runs: dict[TargetStart, Run]) -> list[Run]:
        return [x for x in runs.values() if x.target not in self.explained]

    def _explain(self, targets: Iterable[TargetStart]) -> None:
        self.explained.update(dict.fromkeys(targets))
        _keep_latest(self.explained, MAX_EXPLAINED)

    def _clear(self, digest: str, now: float) -> bool:
        runs = self.runs.pop(digest, None)
        refusal = self.refused.get(digest)
        is_refusal_over = refusal is not None and refusal.since < now
        if is_refusal_over:
            del self.refused[digest]
        if runs is None:
            return is_refusal_over
        until = self._cleared_until(digest)
        kept = {k: run for k, run in runs.items() if run.ended > until}
        if kept:
            self.runs[digest] = kept
        return is_refusal_over or len(kept) < len(runs)


def _has_sequence(runs: Collection[Run]) -> bool:
    """Returns whether one run began after another had ended.

    Several targets that end at the same moment may have had one cause.
    """
    return max(x.began for x in runs) >= min(x.ended for x in runs)


def _keep_latest(entries: dict, count: int) -> None:
    while len(entries) > count:
        del entries[next(iter(entries))]
