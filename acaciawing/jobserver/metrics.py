"""Counters and latency histograms, served in the Prometheus text format."""

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from acaciawing.jobserver.tasks import start_task

# Loading the SDK takes a third of a second; the delay lets the instance serve
# clients first.
_SDK_LOAD_DELAY_S = 1.0

# Upper bounds of the buckets of the latency histograms.
_HISTOGRAM_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)

# Maximum number of times stored until the next collection; more are dropped.
_MAX_PENDING_TIMES = 20_000

# All label names; each has only a few values.
LABELS = frozenset({"method", "status", "kind", "outcome"})

# Name and description of each instrument; docs/OPERATIONS.md lists them.
COUNTERS = {
    "acaciawing.jobs.requests": "Answers to clients by method and status",
    "acaciawing.jobs.starts": "Orders to start by outcome",
    "acaciawing.jobs.ends": "Ends of runs by kind",
    "acaciawing.jobs.machine_orders": "Moves and upkeep by outcome",
    "acaciawing.jobs.findings": "Received data that was not usable",
}
HISTOGRAMS = {
    "acaciawing.jobs.request_time": "Time to the answer by method",
    "acaciawing.jobs.append_time": "Time of a store append of a client",
    "acaciawing.jobs.start_wait": "Time from a subtask's turn to its start",
}


class Metrics:
    """Holds measurements in memory until the SDK exports them."""

    def __init__(self) -> None:
        """Starts without measurements."""
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._times: list[tuple[str, dict[str, str], float]] = []
        self._render: Callable[[], bytes] | None = None

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + 1

    def record_time(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a time to a histogram."""
        with self._lock:
            if len(self._times) < _MAX_PENDING_TIMES:
                self._times.append((name, labels, seconds))

    def counts(self) -> Mapping[tuple[str, tuple[tuple[str, str], ...]], int]:
        """Returns a copy of all counts."""
        with self._lock:
            return dict(self._counts)

    def take_times(self) -> list[tuple[str, dict[str, str], float]]:
        """Returns the times of all histograms and clears them."""
        with self._lock:
            times, self._times = self._times, []
        return times

    def start(self) -> None:
        """Starts a thread that loads the SDK."""
        start_task("metrics", self._load_sdk, restart=True)

    def _load_sdk(self) -> None:
        threading.Event().wait(_SDK_LOAD_DELAY_S)
        self._render = _make_renderer(self)

    def application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves the metrics (PEP 3333)."""
        body = self._render() if self._render is not None else b""
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]


# Metrics of this process.
METRICS = Metrics()


def _make_renderer(metrics: Metrics) -> Callable[[], bytes]:
    """Builds the instruments; returns a function that renders them as text."""
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.metrics import CallbackOptions, Observation
    from opentelemetry.sdk.metrics import Histogram, MeterProvider
    from opentelemetry.sdk.metrics.view import (
        ExplicitBucketHistogramAggregation,
        View,
    )
    from prometheus_client import REGISTRY, generate_latest

    view = View(
        instrument_type=Histogram,
        aggregation=ExplicitBucketHistogramAggregation(_HISTOGRAM_BOUNDS_S),
    )
    provider = MeterProvider([PrometheusMetricReader()], views=[view])
    meter = provider.get_meter("acaciawing")

    def observe(name: str) -> Callable[[CallbackOptions], list[Observation]]:
        def callback(_: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, dict(labels))
                for (counter, labels), count in metrics.counts().items()
                if counter == name
            ]

        return callback

    for name, description in COUNTERS.items():
        meter.create_observable_counter(name, [observe(name)], "1", description)
    histograms = {
        name: meter.create_histogram(name, "s", description)
        for name, description in HISTOGRAMS.items()
    }

    def render() -> bytes:
        for name, labels, seconds in metrics.take_times():
            histograms[name].record(seconds, labels)
        return generate_latest(REGISTRY)

    return render
