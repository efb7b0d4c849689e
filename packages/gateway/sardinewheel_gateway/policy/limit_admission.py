"""Keeps all hosts together to the request rate that a target accepts.

The rate is divided evenly among failure domains, which all hosts compute alike
from the settings. In each domain one live host, the holder, spends the domain's
share; the other hosts send the target nothing. No messages are needed, and
since partitions run between failure domains, the shares add up to the rate at
most even if domains are cut off from each other.

Few callers of a domain reach the holder in a large fleet, so the rate is not
used up there. It is meant for targets in need, whose objects other targets
serve meanwhile.
"""

from collections.abc import Iterable

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.announcements import Limit

# Lowest rate that is assumed, as only a response can tell that a limit has
# ended.
MIN_RATE_PER_S = 0.1
# A target's rate is divided among this number of domains, and among two more
# for each request per second, as each may send a request after an idle time.
MIN_DOMAINS = 2
DOMAINS_PER_RATE_S = 2.0
# Duration of a share that is kept for requests which arrive unevenly.
BURST_S = 0.5
# Time after a change of the domain's hosts for which a new holder waits, so
# that a former one knows it too.
TAKEOVER_WAIT_S = 2.0


class TokenBucket:
    """Admits requests at a rate; starts empty.

    Attributes:
        rate_per_s: Tokens added per second.
        tokens: Tokens at ``updated_at``; a request takes one.
        updated_at: Time of the last update.
    """

    def __init__(self, rate_per_s: float, *, starts_at: float):
        self.rate_per_s = rate_per_s
        self.tokens = 0.0
        self.updated_at = starts_at

    def update(self, rate_per_s: float, now: float) -> None:
        """Adds the tokens of the time since the last update."""
        if now > self.updated_at:
            added = self.rate_per_s * (now - self.updated_at)
            capacity = max(1.0, BURST_S * rate_per_s)
            self.tokens = min(capacity, self.tokens + added)
            self.updated_at = now
        self.rate_per_s = rate_per_s


class LimitAdmission:
    """Admits requests to targets that name a limit.

    Attributes:
        host: Name of this host.
        domain: Failure domain of this host.
        domains: All failure domains.
        domain_hosts: Live, ready hosts of this host's domain.
        settled_at: Time from which all of them know of the last change.
        buckets: Token bucket of each limited target that this host holds the
            share of.
        is_holder: Cached result of ``_is_holder`` by target id.
    """

    def __init__(self, host: str, domain: str, domains: Iterable[str]):
        self.host = host
        self.domain = domain
        self.domains = tuple(sorted({domain, *domains}))
        self.domain_hosts: tuple[str, ...] = (host,)
        self.settled_at = float("-inf")
        self.buckets: dict[str, TokenBucket] = {}
        self.is_holder: dict[str, bool] = {}

    def set_domain_hosts(self, names: Iterable[str], *, now: float) -> None:
        """Sets the live, ready hosts of this host's domain."""
        names = tuple(sorted(names))
        if names == self.domain_hosts:
            return
        self.domain_hosts = names
        self.settled_at = now + TAKEOVER_WAIT_S
        self.is_holder.clear()
        for target_id in list(self.buckets):
            if not self._is_holder(target_id):
                del self.buckets[target_id]

    def admits(self, target_id: str, limit: Limit, now: float) -> bool:
        """Returns whether this host may send a request to a limited target."""
        if not self._is_holder(target_id):
            return False
        bucket = self.buckets.get(target_id)
        rate_per_s = self._domain_rate_per_s(target_id, limit.per_s)
        if bucket is None:
            starts_at = max(limit.since, self.settled_at)
            bucket = TokenBucket(rate_per_s, starts_at=starts_at)
            self.buckets[target_id] = bucket
        bucket.update(rate_per_s, now)
        return bucket.tokens >= 1.0

    def record_dispatch(self, target_id: str) -> None:
        """Records that a request is sent to a target, limited or not."""
        bucket = self.buckets.get(target_id)
        if bucket is not None:
            bucket.tokens -= 1.0

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that has no limit any more."""
        self.buckets.pop(target_id, None)
        self.is_holder.pop(target_id, None)

    def _is_holder(self, target_id: str) -> bool:
        is_holder = self.is_holder.get(target_id)
        if is_holder is None:
            order = ranking.ranked(target_id, self.domain_hosts)
            is_holder = order[:1] == [self.host]
            self.is_holder[target_id] = is_holder
        return is_holder

    def _domain_rate_per_s(self, target_id: str, limit_per_s: float) -> float:
        """Returns the share of this host's failure domain; 0 without one."""
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        wanted = MIN_DOMAINS + int(DOMAINS_PER_RATE_S * rate_per_s)
        count = min(wanted, len(self.domains))
        order = ranking.ranked(target_id, self.domains)
        return rate_per_s / count if self.domain in order[:count] else 0.0
