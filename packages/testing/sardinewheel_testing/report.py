"""Text reports of a run."""

from collections import Counter

from sardinewheel_testing.calls import CallOutcome, CallResult
from sardinewheel_testing.run_statistics import (
    Verdict,
    by_kind,
    refusals_by_reason,
    unknowns_by_reason,
)

MAX_EXAMPLES = 5


def table(rows: list[tuple]) -> str:
    """Formats rows as aligned columns; the first row is the heading.

    Examples:
        >>> print(table([("kind", "calls"), ("status", 12)]))
        kind    calls
        status     12
    """
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    lines = []
    for row in texts:
        cells = [row[0].ljust(widths[0])]
        cells += [c.rjust(w) for c, w in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def requests_table(results: list[CallResult]) -> str:
    """Formats calls and latencies by service and kind."""
    rows: list[tuple] = [
        (
            "service/kind (weight)",
            "calls",
            "done",
            "refused",
            "unknown",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
        )
    ]
    for kind in by_kind(results):
        rows.append(
            (
                f"{kind.service}/{kind.kind} ({kind.weight})",
                kind.calls,
                kind.outcomes[CallOutcome.DONE],
                kind.outcomes[CallOutcome.REFUSED],
                kind.outcomes[CallOutcome.UNKNOWN],
                *(f"{value:.1f}" for value in kind.latency),
            )
        )
    return table(rows)


def headroom_table(caps: dict[str, int], peak_weight: dict[str, int]) -> str:
    """Formats cap, maximum weight in flight and headroom by region."""
    rows: list[tuple] = [("region", "cap", "most in flight", "headroom")]
    for region, cap in caps.items():
        rows.append(
            (region, cap, peak_weight[region], cap - peak_weight[region])
        )
    return table(rows)


def counts_line(counts: Counter[str]) -> str:
    """Formats counts in one line, largest first.

    Examples:
        >>> counts_line(Counter({"no-room": 3, "deadline": 1}))
        'no-room 3, deadline 1'
    """
    return ", ".join(f"{k} {n}" for k, n in counts.most_common()) or "none"


def reason_lines(results: list[CallResult]) -> str:
    """Formats refused attempts and unknown calls by reason."""
    refused = counts_line(refusals_by_reason(results))
    unknown = counts_line(unknowns_by_reason(results))
    return f"refused attempts: {refused}\nunknown calls: {unknown}"


def verdict_lines(verdict: Verdict) -> str:
    """Formats the number of violations of each promise, with examples."""
    lines = []
    for name, broken in verdict._asdict().items():
        lines.append(f"{name.replace('_', ' ')}: {len(broken)}")
        lines += [f"  {item}" for item in broken[:MAX_EXAMPLES]]
    lines.append("promises kept" if verdict.is_kept else "PROMISES BROKEN")
    return "\n".join(lines)
