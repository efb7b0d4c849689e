"""``make slopes``: measures cost slopes and prints them as tables."""

import json
from pathlib import Path

from sardinewheel_testing.slopes import control
from sardinewheel_testing.slopes.control import ControlCost
from sardinewheel_testing.slopes.measure import measure_slopes

OUTPUT = Path("build/slopes.json")
FLEETS = (11, 111, 444, 1000, 4000)


def print_costs(costs: list[ControlCost]) -> None:
    """Prints the control-plane cost of a host by fleet size."""
    print("\nhosts  sent bytes/s  messages/s  share of a core  reads/s")
    for cost in costs:
        print(
            f"{cost.hosts:5}  {cost.sent_bytes:12.0f}  {cost.messages:10.1f}"
            f"  {cost.processor_share:15.4f}  {cost.reads:7.2f}"
        )


def main() -> None:
    """Runs all measurements, prints them and writes them as JSON."""
    print(
        f"{'measured':34} {'slope':>12} {'intercept':>12} {'fit':>6}  samples"
    )
    rows = []
    for found in measure_slopes():
        samples = "  ".join(f"{s.size:g}:{s.cost:.4g}" for s in found.samples)
        line = found.line
        print(
            f"{found.name:34} {line.slope:12.4g} {line.intercept:12.4g}"
            f" {line.r_squared:6.3f}  {samples}"
            f"  ({found.unit} per {found.per})",
            flush=True,
        )
        rows.append(
            {
                "name": found.name,
                "unit": found.unit,
                "per": found.per,
                "slope": line.slope,
                "intercept": line.intercept,
                "r_squared": line.r_squared,
                "samples": [list(s) for s in found.samples],
            }
        )
    costs = [control.measure(hosts) for hosts in FLEETS]
    print_costs(costs)
    rows += [cost._asdict() for cost in costs]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(rows, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
