"""Shares with the other hosts which requests crash targets."""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import CrashNews, Gossip
from sardinewheel_gateway.policy import crash_news
from sardinewheel_gateway.policy.crash_news import (
    Completion,
    Item,
    Loss,
    NewsQueue,
    Refused,
)
from sardinewheel_gateway.policy.crash_suspects import (
    NOT_REPEATED_AFTER,
    CrashSuspects,
    Run,
)
from sardinewheel_gateway.policy.heartbeat_recipients import (
    cross_region_recipients,
    same_region_recipients,
)

ROUND_S = 0.1
FULL_ROUND_S = 2.0
# Time after the last loss in which it may still decide.
DECISION_S = 2.0
CROSS_REGION_RECIPIENTS = 2
# A host that starts waits so long for what the others know.
SYNC_TIMEOUT_S = 0.5
SYNC_RECIPIENTS = 2
MAX_SYNCED_ITEMS = 240
RESPONSE = "response"
OPERATOR = "operator"


class CrashExchange:
    """Records crashes, decides what to refuse, and passes both on.

    Attributes:
        suspects: The requests, by digest.
        gossip: Sends datagrams to the other hosts.
        news: Items to pass on.
        on_refused: Called with each request that is refused from now on.
        on_synced: Called once this host knows what the others refuse, or
            found none that knows.
        is_synced: Whether that has happened.
        changed_at: Time of the last loss that became known.
        wakeup: Set to run a round at once.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        gossip: Gossip,
        *,
        log,
        rng: random.Random,
    ):
        self.suspects = suspects
        self.gossip = gossip
        self.log = log
        self.rng = rng
        self.news = NewsQueue()
        self.on_refused: Callable[[str], None] = lambda _digest: None
        self.on_synced: Callable[[], None] = lambda: None
        self.is_synced = False
        self.started_at = clock.steady()
        self.changed_at = float("-inf")
        self.wakeup = Event()
        gossip.on_crash_news = self.merge
        gossip.on_crash_request = self.send_refusals

    def run(self) -> None:
        """Decides and passes news on in rounds; never returns."""
        full_round_at = self.started_at
        while True:
            now = clock.steady()
            self._synchronize(now)
            self.decide(now)
            self._send(self.news.take(), now)
            if now >= full_round_at:
                full_round_at = now + FULL_ROUND_S
                self._expire(now)
                self._send(self._some_refusals(), now)
            self._wait(now)

    def record_loss(self, digest: str, run: Run) -> None:
        """Records a request of this host that ended with its target."""
        if self.suspects.record_loss(digest, run):
            self._handle_loss(Loss(digest, run))
            losses = self.suspects.loss_count(digest)
            if losses >= NOT_REPEATED_AFTER:
                self.log.warning(
                    "crash-suspected",
                    digest=digest,
                    losses=losses,
                    target=run.target.target_id,
                    took_s=run.ended - run.began,
                )

    def record_completion(self, digest: str, *, source: str = RESPONSE) -> None:
        """Records a request that ended well, or is allowed again."""
        self._complete(Completion(digest, clock.steady()), source)

    def lift(self, digest: str) -> bool:
        """Allows a refused request again; returns whether it was refused."""
        is_refused = digest in self.suspects.refused
        self.record_completion(digest, source=OPERATOR)
        return is_refused

    def decide(self, now: float) -> None:
        """Refuses the requests that the evidence suffices for."""
        for digest in self.suspects.decide(now):
            refusal = self.suspects.refused[digest]
            self._handle_refusal(Refused(digest, refusal), RESPONSE)

    def merge(self, message: CrashNews) -> None:
        """Applies the news of another host.

        Raises:
            TypeError: They are not encoded as news.
            ValueError: A field is out of its range.
        """
        now = clock.steady()
        for item in crash_news.from_plain(message.items, now):
            self._merge_item(item, message.name)
        if message.is_complete:
            self._finish_synchronization()

    def send_refusals(self, address: str) -> None:
        """Sends all refusals to a host that has just started."""
        if not self.is_synced:
            return
        now = clock.steady()
        refusals = [Refused(*entry) for entry in self.suspects.refused.items()][
            -MAX_SYNCED_ITEMS:
        ]
        step = crash_news.MAX_ITEMS
        parts = [
            refusals[start : start + step]
            for start in range(0, len(refusals), step)
        ]
        for number, part in enumerate(parts or [[]], start=1):
            message = CrashNews(
                self.gossip.host_table.own.name,
                crash_news.to_plain(part, now),
                is_complete=number >= len(parts),
            )
            self.gossip.send_crash_news(message, [address])

    def _merge_item(self, item: Item, source: str) -> None:
        completed_at = self.suspects.completed.get(item.digest)
        match item:
            case Loss(digest, run):
                if self.suspects.record_loss(digest, run):
                    self._handle_loss(item)
                elif completed_at is not None and completed_at >= run.ended:
                    self.news.add(Completion(digest, completed_at))
            case Completion(digest, at):
                if completed_at is not None and at <= completed_at:
                    return
                self._complete(item, source)
            case Refused(digest, refusal):
                if self.suspects.refuse(digest, refusal):
                    self._handle_refusal(item, source)
                elif digest not in self.suspects.refused:
                    self.news.add(Completion(digest, completed_at))

    def _handle_loss(self, loss: Loss) -> None:
        self.changed_at = clock.steady()
        self.news.add(loss)
        self.wakeup.set()

    def _complete(self, item: Completion, source: str) -> None:
        """Records a good run; passes it on if it clears the request."""
        digest = item.digest
        was_refused = digest in self.suspects.refused
        losses = self.suspects.loss_count(digest)
        if not self.suspects.record_completion(digest, item.at):
            return
        # Most requests that ran where a target ended are lost just once.
        if was_refused or losses >= NOT_REPEATED_AFTER:
            self.log.info(
                "crash-cleared", digest=digest, losses=losses, source=source
            )
        self.news.add(item)
        self.wakeup.set()

    def _handle_refusal(self, item: Refused, source: str) -> None:
        self.log.warning(
            "crash-refused",
            digest=item.digest,
            losses=item.refusal.losses,
            source=source,
        )
        self.news.add(item)
        self.wakeup.set()
        self.on_refused(item.digest)

    def _synchronize(self, now: float) -> None:
        """Asks other hosts what they refuse, until one has told."""
        if self.is_synced:
            return
        if now - self.started_at >= SYNC_TIMEOUT_S:
            self._finish_synchronization()
            return
        hosts = self.gossip.host_table.live(now=now)[1:]
        count = min(SYNC_RECIPIENTS, len(hosts))
        for host in self.rng.sample(hosts, count):
            self.gossip.send_crash_request(host)

    def _finish_synchronization(self) -> None:
        if not self.is_synced:
            self.is_synced = True
            self.on_synced()

    def _some_refusals(self) -> list[Item]:
        """Returns refusals drawn at random, for hosts that missed them."""
        entries = list(self.suspects.refused.items())
        count = min(crash_news.MAX_ITEMS, len(entries))
        return [Refused(*entry) for entry in self.rng.sample(entries, count)]

    def _expire(self, now: float) -> None:
        for digest in self.suspects.expire(now):
            self.log.info("crash-forgotten", digest=digest)

    def _send(self, items: list[Item], now: float) -> None:
        if not items:
            return
        host_table = self.gossip.host_table
        message = CrashNews(
            host_table.own.name,
            crash_news.to_plain(items, now),
            is_complete=False,
        )
        recipients = same_region_recipients(host_table, self.rng, now=now)
        others = cross_region_recipients(host_table, self.rng)
        count = min(CROSS_REGION_RECIPIENTS, len(others))
        recipients += self.rng.sample(others, count)
        self.gossip.send_crash_news(message, [x.gossip for x in recipients])

    def _wait(self, now: float) -> None:
        """Waits for the next round, which comes soon if there is anything."""
        self.wakeup.clear()
        is_deciding = now - self.changed_at < DECISION_S
        if self.news.rounds_left or is_deciding or not self.is_synced:
            gevent.sleep(ROUND_S)
        else:
            self.wakeup.wait(FULL_ROUND_S)
