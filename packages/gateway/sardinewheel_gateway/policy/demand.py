"""Estimates how many requests arrive in each failure domain.

Designed for callers whose rate rises and falls at another time in each region.
Hosts of a domain tell each other their own rates; the mean of those heard,
times the live hosts, is the demand of the domain, so that lost messages make
it less exact but not smaller. Domains pass on their estimates with an age, and
an old one is dropped: demand that nobody reports counts as average.
"""

import math
from typing import NamedTuple

# Time constant of the moving averages.
SMOOTHING_S = 3.0
MAX_AGE_S = 5.0
# Lead from which a reported estimate counts as newer; ages miss the delay of
# the network at each host that passes them on.
MIN_LEAD_S = 0.1


class DemandReport(NamedTuple):
    """Demand of a failure domain, as hosts pass it on.

    Attributes:
        domain: The failure domain.
        age_s: Seconds since a host of the domain estimated it.
        rates: Requests per second by service.
    """

    domain: str
    age_s: float
    rates: dict[str, float]


class Estimate(NamedTuple):
    """Requests per second by service, and the time of the estimate."""

    at: float
    rates: dict[str, float]


class DemandTable:
    """Demand by failure domain, as known to one host.

    Attributes:
        domain: Failure domain of this host.
        counts: Requests since the last update, by service.
        own: Own rates, averaged.
        peers: Rates of other hosts of the domain, by name.
        domains: Latest estimates of all domains.
    """

    def __init__(self, domain: str):
        self.domain = domain
        self.counts: dict[str, int] = {}
        self.own: Estimate | None = None
        self.peers: dict[str, Estimate] = {}
        self.domains: dict[str, Estimate] = {}

    def count(self, service: str, requests: int = 1) -> None:
        """Counts requests that callers sent to this host."""
        self.counts[service] = self.counts.get(service, 0) + requests

    def update(self, hosts: int, *, now: float) -> None:
        """Averages the own rates and estimates those of the domain.

        Args:
            hosts: Number of live hosts of the domain, with this one.
            now: Seconds of the monotonic clock.
        """
        if self.own is None:
            self.counts.clear()
            self.own = Estimate(now, {})
            return
        elapsed_s = now - self.own.at
        if elapsed_s <= 0.0:
            return
        self.own = Estimate(now, self._averaged(elapsed_s))
        self.counts.clear()
        self.peers = _recent(self.peers, now)
        self.domains = _recent(self.domains, now)
        heard = [self.own, *self.peers.values()]
        services = {name for estimate in heard for name in estimate.rates}
        rates = {
            service: hosts
            * sum(estimate.rates.get(service, 0.0) for estimate in heard)
            / len(heard)
            for service in services
        }
        self.domains[self.domain] = Estimate(now, rates)

    def record_host(
        self, name: str, domain: str, rates: dict[str, float], *, now: float
    ) -> None:
        """Records the own rates of another host of this domain."""
        if domain == self.domain:
            self.peers[name] = Estimate(now, _checked(rates))

    def merge(self, report: DemandReport, *, now: float) -> None:
        """Records a reported estimate of another domain if it is newer."""
        if report.domain == self.domain:
            return
        if not 0.0 <= report.age_s <= MAX_AGE_S:
            return
        known = self.domains.get(report.domain)
        at = now - report.age_s
        if known is None or at >= known.at + MIN_LEAD_S:
            self.domains[report.domain] = Estimate(at, _checked(report.rates))

    def reports(self, *, now: float) -> list[DemandReport]:
        """Returns the recent estimates of all domains."""
        return [
            DemandReport(
                domain,
                round(now - at, 2),
                {x: round(rates[x], 2) for x in rates},
            )
            for domain, (at, rates) in _recent(self.domains, now).items()
        ]

    def of(self, service: str, *, now: float) -> dict[str, float]:
        """Returns the demand for a service by domain, as far as known."""
        return {
            domain: rates[service]
            for domain, (_, rates) in _recent(self.domains, now).items()
            if service in rates
        }

    def _averaged(self, elapsed_s: float) -> dict[str, float]:
        """Returns the moving averages of the own rates."""
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        before = self.own.rates
        rates = {}
        for service in before.keys() | self.counts.keys():
            rate = self.counts.get(service, 0) / elapsed_s
            known = before.get(service, rate)
            rates[service] = known + weight * (rate - known)
        return rates


def _recent(estimates: dict[str, Estimate], now: float) -> dict[str, Estimate]:
    return {
        name: estimate
        for name, estimate in estimates.items()
        if now - estimate.at <= MAX_AGE_S
    }


def _checked(rates: dict[str, float]) -> dict[str, float]:
    """Returns rates, all finite and not negative.

    Raises:
        TypeError: They are no rates by service.
        ValueError: One is not finite, or negative.
    """
    if not isinstance(rates, dict):
        raise TypeError(f"demand {rates!r} is not by service")
    for service, rate in rates.items():
        if not 0.0 <= rate < math.inf:
            raise ValueError(f"demand {rate!r} for service {service!r}")
    return rates
