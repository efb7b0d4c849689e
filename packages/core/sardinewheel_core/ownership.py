"""Assigns targets to entry hosts.

Only one entry host at a time dispatches to a target, so that its in-flight
count is exact. A target is assigned to a host of its own failure domain, or,
if that domain has no live host, to a host of its region.
"""

import hashlib
from collections import Counter

from sardinewheel_core.intent import Intent, Target
from sardinewheel_core.messages import HostState


def owned_targets(
    intent: Intent,
    own_name: str,
    ready: list[HostState],
    *,
    may_adopt: bool = True,
) -> list[tuple[str, Target]]:
    """Returns the targets, with their services, that a host dispatches to.

    Args:
        intent: Intent in force.
        own_name: Name of the host.
        ready: Live hosts that accept requests.
        may_adopt: Whether the host may take over targets of other failure
            domains. False for a host that has just started, since its
            membership may not list the hosts of those domains yet.
    """
    own_domain = next((s.domain for s in ready if s.name == own_name), None)
    region = intent.region_of(own_domain) if own_domain else None
    if region is None:
        return []
    domains = intent.regions[region].domains
    in_region = [s for s in ready if s.domain in domains]
    owned = []
    for domain in domains:
        hosts = [s.name for s in in_region if s.domain == domain]
        hosts = hosts or [s.name for s in in_region]
        if own_name not in hosts or not (may_adopt or domain == own_domain):
            continue
        by_service: dict[str, list[Target]] = {}
        for service, target in intent.targets_of_domain(domain):
            by_service.setdefault(service, []).append(target)
        for service, targets in by_service.items():
            owners = assign([t.name for t in targets], hosts)
            owned += [
                (service, t) for t in targets if owners[t.name] == own_name
            ]
    return owned


def slots_by_host(
    intent: Intent, service: str, ready: list[HostState]
) -> Counter[str]:
    """Returns the number of a service's target slots, by host name.

    Counts only targets whose failure domain has a live host.

    Args:
        intent: Intent in force.
        service: Name of the service.
        ready: Live hosts that accept requests.
    """
    slots: Counter[str] = Counter()
    configured = intent.services.get(service)
    by_domain: dict[str, list[Target]] = {}
    for target in configured.targets.values() if configured else ():
        by_domain.setdefault(target.domain, []).append(target)
    for domain, targets in by_domain.items():
        hosts = [s.name for s in ready if s.domain == domain]
        if not hosts:
            continue
        owners = assign([t.name for t in targets], hosts)
        for target in targets:
            slots[owners[target.name]] += target.slots
    return slots


def assign(targets: list[str], hosts: list[str]) -> dict[str, str]:
    """Assigns each target to a host by bounded rendezvous hashing.

    No host gets more than ``ceil(len(targets) / len(hosts))`` targets.

    Examples:
        >>> sorted(assign(["t1", "t2"], ["a", "b"]).values())
        ['a', 'b']
    """
    max_per_host = -(-len(targets) // len(hosts))
    counts = dict.fromkeys(hosts, 0)
    owners = {}
    for target in sorted(targets):
        candidates = [h for h in hosts if counts[h] < max_per_host]
        owner = max(candidates, key=lambda h: _weight(h, target))
        counts[owner] += 1
        owners[target] = owner
    return owners


def _weight(host: str, target: str) -> bytes:
    text = f"{host}/{target}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
