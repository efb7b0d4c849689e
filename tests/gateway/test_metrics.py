"""Metrics in the text format, parsed by the Prometheus client library."""

import subprocess
import sys

from prometheus_client.parser import text_string_to_metric_families
from sardinewheel_gateway.metrics import MAX_SERIES, Metrics, Series


def samples(metrics, *, gauges=None, events=None, hosts=None):
    """Returns the value of each sample by name and sorted labels."""
    text = metrics.text(gauges or {}, events or {}, hosts or {}).decode()
    return {
        (sample.name, *_sorted(sample.labels)): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def sample_key(name, series, **more):
    """Returns the key of a latency sample."""
    labels = series._asdict() | more
    return (f"sardinewheel_request_seconds_{name}", *_sorted(labels))


def _sorted(labels):
    return [labels[name] for name in sorted(labels)]


def test_latencies_are_counted_by_series_and_bucket():
    metrics = Metrics()
    series = Series("orders", "status", "200")
    metrics.observe_request(series, 0.04)
    metrics.observe_request(series, 0.25)
    found = samples(metrics)
    assert found[sample_key("bucket", series, le="0.05")] == 1
    assert found[sample_key("bucket", series, le="0.2")] == 1
    assert found[sample_key("bucket", series, le="0.3")] == 2
    assert found[sample_key("count", series)] == 2
    assert found[sample_key("sum", series)] == 0.29


def test_label_values_are_escaped():
    metrics = Metrics()
    series = Series("own", 'bad "quoted"\nreason\\', "502")
    metrics.observe_request(series, 0.1)
    assert sample_key("count", series) in samples(metrics)


def test_counters_gauges_and_events_are_shown():
    metrics = Metrics()
    metrics.count("target_connections")
    found = samples(
        metrics,
        gauges={"targets": 3},
        events={"store-lost": 2},
        hosts={"north": 4},
    )
    assert found["sardinewheel_target_connections_total",] == 1
    assert found["sardinewheel_targets",] == 3
    assert found["sardinewheel_known_hosts", "north"] == 4
    assert found["sardinewheel_events_total", "store-lost"] == 2


def test_series_are_bounded():
    metrics = Metrics()
    for number in range(MAX_SERIES + 5):
        metrics.observe_request(Series("orders", f"r{number}", "200"), 0.1)
    assert len(metrics.latencies) == MAX_SERIES + 1
    assert sum(metrics.latencies[Series("other", "other", "200")].counts) == 5


def test_client_library_is_not_imported_before_the_first_scrape():
    code = (
        "import sys; import sardinewheel_gateway.process; "
        "sys.exit('prometheus_client' in sys.modules)"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], check=False).returncode
        == 0
    )
