"""Keeps all hosts together to the request rate that a target accepts.

The rate is divided evenly among failure domains, which all hosts compute alike
from the settings. In each domain one live host, the holder, has the domain's
share; the other hosts of the domain, and then those of the region, ask it for a
permit before each request. Partitions run between failure domains, so the
shares add up to the rate at most even if domains are cut off from each other,
and within a region they go to the hosts that have requests.

Meant for targets in need, whose objects other targets serve meanwhile: a
request that gets no permit is placed elsewhere at once.
"""

import copy
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.announcements import Limit

# Lowest rate that is assumed, as only a response can tell that a limit has
# ended.
MIN_RATE_PER_S = 0.25
# Requests that a target may get at once after an idle time: those of
# ``BURST_S`` at its rate, and some more. Each domain with a share needs one.
BURST_S = 1.5
BURST_REQUESTS = 3.0
# Part of the burst, beyond one request, that only urgent requests may use.
URGENT_BURST_PART = 0.5
# Time after a change of the domain's hosts for which a new holder waits, so
# that a former one knows it too.
TAKEOVER_WAIT_S = 2.0
# Longest time until a target that refused a permit is asked for again.
MAX_WAIT_S = 1.0


class Share(NamedTuple):
    """The part of a target's limit that a failure domain has.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests that may be sent at once after an idle time.
    """

    rate_per_s: float
    burst: float


class TokenBucket:
    """Admits requests at the rate of a share.

    Attributes:
        share: The share.
        tokens: Tokens at ``updated_at``; a request takes one.
        updated_at: Time of the last update.
    """

    def __init__(self, share: Share, *, tokens: float, starts_at: float):
        self.share = share
        self.tokens = tokens
        self.updated_at = starts_at

    def update(self, share: Share, now: float) -> None:
        """Adds the tokens of the time since the last update."""
        if now > self.updated_at:
            added = self.share.rate_per_s * (now - self.updated_at)
            self.tokens = min(share.burst, self.tokens + added)
            self.updated_at = now
        self.share = share

    def wait_s(self, now: float, *, is_urgent: bool) -> float:
        """Returns the seconds until the next token; 0 if there is one.

        Part of the burst is reserved for urgent requests.
        """
        needed = 1.0
        if not is_urgent:
            needed += URGENT_BURST_PART * max(0.0, self.share.burst - 1.0)
        missing = needed - self.tokens
        if missing <= 0.0:
            return 0.0
        if self.share.rate_per_s <= 0.0:
            return MAX_WAIT_S
        available_at = self.updated_at + missing / self.share.rate_per_s
        return max(0.0, min(MAX_WAIT_S, available_at - now))


class LimitAdmission:
    """Admits requests to targets that name a limit.

    Attributes:
        host: Name of this host.
        domain: Failure domain of this host.
        domains: All failure domains.
        hosts: Live, ready hosts of each failure domain of this host's region.
        settled_at: Time from which the hosts of this domain know of the last
            change among them.
        buckets: Token bucket of each limited target that this host holds the
            share of.
        known_holders: Cached result of ``holders`` by target id.
        refused_until: Time until which a holder is not asked for a permit, by
            target id, holder and whether the request is urgent.
        silent_until: Time until which a holder is not asked at all.
    """

    def __init__(self, host: str, domain: str, domains: Iterable[str]):
        self.host = host
        self.domain = domain
        self.domains = tuple(sorted({domain, *domains}))
        self.hosts: dict[str, list[str]] = {}
        self.settled_at = float("-inf")
        self.buckets: dict[str, TokenBucket] = {}
        self.known_holders: dict[str, list[str]] = {}
        self.refused_until: dict[str, dict[tuple[str, bool], float]] = {}
        self.silent_until: dict[str, float] = {}

    def set_hosts(self, hosts: dict[str, list[str]], *, now: float) -> None:
        """Sets the live, ready hosts of the region's failure domains."""
        if hosts == self.hosts:
            return
        if hosts.get(self.domain) != self.hosts.get(self.domain):
            self.settled_at = now + TAKEOVER_WAIT_S
        self.hosts = hosts
        self.known_holders.clear()
        self.refused_until.clear()
        self.silent_until.clear()
        for target_id in list(self.buckets):
            if self.host not in self.holders(target_id):
                del self.buckets[target_id]

    def holders(self, target_id: str) -> list[str]:
        """Returns the holders to ask for a permit, the nearest first."""
        holders = self.known_holders.get(target_id)
        if holders is None:
            domains = sorted(self.hosts, key=lambda name: name != self.domain)
            holders = [
                ranking.ranked(target_id, self.hosts[domain])[0]
                for domain in domains
                if self.hosts[domain]
            ]
            self.known_holders[target_id] = holders
        return holders

    def wait_s(
        self, target_id: str, limit: Limit, now: float, *, is_urgent: bool
    ) -> float:
        """Returns the seconds until a limited target may be tried.

        It is 0 if this host has a permit, or may ask a holder for one.
        """
        waits_s = [
            self._holder_wait_s(holder, target_id, limit, now, is_urgent)
            for holder in self.holders(target_id)
        ]
        return min(waits_s, default=MAX_WAIT_S)

    def ask_wait_s(
        self, holder: str, target_id: str, now: float, *, is_urgent: bool
    ) -> float:
        """Returns the seconds until another host may be asked for a permit."""
        refused_until = self.refused_until.get(target_id, {}).get(
            (holder, is_urgent), now
        )
        silent_until = self.silent_until.get(holder, now)
        return max(0.0, refused_until - now, silent_until - now)

    def take(
        self, target_id: str, limit: Limit, now: float, *, is_urgent: bool
    ) -> float:
        """Takes a permit for one request from the share held here.

        Returns:
            0 if the request may be sent, else the seconds until the next
            permit.
        """
        if self.host not in self.holders(target_id):
            return MAX_WAIT_S
        bucket = self._bucket(target_id, limit, now)
        wait_s = bucket.wait_s(now, is_urgent=is_urgent)
        if wait_s == 0.0:
            bucket.tokens -= 1.0
        return wait_s

    def record_refusal(
        self,
        holder: str,
        target_id: str,
        *,
        is_urgent: bool,
        wait_s: float,
        now: float,
    ) -> None:
        """Records that a holder has no permit for some time."""
        until = now + min(MAX_WAIT_S, wait_s)
        refused_until = self.refused_until.setdefault(target_id, {})
        refused_until[holder, is_urgent] = until

    def record_silence(self, holder: str, *, now: float) -> None:
        """Records that a holder has not responded."""
        self.silent_until[holder] = now + MAX_WAIT_S

    def copy(self) -> "LimitAdmission":
        """Returns a copy whose buckets are its own; the rest is only read."""
        copied = copy.copy(self)
        copied.buckets = {x: copy.copy(y) for x, y in self.buckets.items()}
        copied.known_holders = dict(self.known_holders)
        return copied

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that has no limit any more."""
        self.buckets.pop(target_id, None)
        self.known_holders.pop(target_id, None)
        self.refused_until.pop(target_id, None)

    def _holder_wait_s(
        self,
        holder: str,
        target_id: str,
        limit: Limit,
        now: float,
        is_urgent: bool,
    ) -> float:
        if holder == self.host:
            bucket = self._bucket(target_id, limit, now)
            return bucket.wait_s(now, is_urgent=is_urgent)
        return self.ask_wait_s(holder, target_id, now, is_urgent=is_urgent)

    def _bucket(self, target_id: str, limit: Limit, now: float) -> TokenBucket:
        """Returns the up-to-date bucket of a share held here."""
        share = self._share(target_id, limit.per_s)
        bucket = self.buckets.get(target_id)
        if bucket is None:
            bucket = self._new_bucket(share, limit)
            self.buckets[target_id] = bucket
        bucket.update(share, now)
        return bucket

    def _new_bucket(self, share: Share, limit: Limit) -> TokenBucket:
        """Returns a full bucket for a new limit, an empty one for an old one.

        Another host may have spent the share of an old limit.
        """
        if limit.since >= self.settled_at:
            return TokenBucket(share, tokens=share.burst, starts_at=limit.since)
        return TokenBucket(share, tokens=0.0, starts_at=self.settled_at)

    def _share(self, target_id: str, limit_per_s: float) -> Share:
        """Returns the share of this host's failure domain, which may be 0."""
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        burst = BURST_S * rate_per_s + BURST_REQUESTS
        count = min(int(burst), len(self.domains))
        order = ranking.ranked(target_id, self.domains)
        if self.domain not in order[:count]:
            return Share(0.0, 0.0)
        return Share(rate_per_s / count, burst / count)
