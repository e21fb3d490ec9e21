"""OpenTelemetry instruments of an entry instance.

All instruments are observable: their values are read from the scheduler's view
when the metrics are collected, so that they cost nothing on the request path.
"""

import threading
from collections.abc import Callable, Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

Labels = tuple[tuple[str, str], ...]
MetricValues = Mapping[Labels, float]

# The only labels; each has a bounded set of values.
LABELS = frozenset({"plan", "service", "zone", "outcome", "code", "status"})

# Unit and description of each instrument by name; docs/measures.md lists the
# same instruments.
COUNTERS = {
    "acaciawing.requests": ("{request}", "Final answers by plan and outcome"),
    "acaciawing.attempts": ("{attempt}", "Ended attempts by outcome"),
    "acaciawing.refusals": ("{request}", "Refusals by plan and code"),
    "acaciawing.records": ("{record}", "Records read, by outcome and code"),
    "acaciawing.claims": ("{claim}", "Claims decided, by outcome"),
}
GAUGES = {
    "acaciawing.in_flight": ("{request}", "Attempts in flight"),
    "acaciawing.waiting": ("{request}", "Requests in the queues"),
    "acaciawing.endpoints": ("{instance}", "Endpoints by status"),
    "acaciawing.configuration.version": ("{offset}", "Version in force"),
    "acaciawing.log.up": ("1", "1 if the last read was answered, else 0"),
    "acaciawing.snapshot.offset": ("{offset}", "Offset of the last snapshot"),
    "acaciawing.leases.held": ("{lease}", "Leases held by this instance"),
    "acaciawing.plan.achieved": ("1", "Achieved success rate by plan"),
    "acaciawing.plan.promised": ("1", "Promised success rate by plan"),
    "acaciawing.members": ("{instance}", "Entry instances heard from"),
}


class Metrics:
    """OpenTelemetry instruments and the reader that collects them.

    Args:
        instance: Id of the entry instance.
        zone: Its availability zone.
        collect_values: Returns the values of each instrument by labels.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        collect_values: Callable[[], Mapping[str, MetricValues]],
    ) -> None:
        """Creates the instruments."""
        self._collect_values = collect_values
        self._values: Mapping[str, MetricValues] = {}
        self._lock = threading.Lock()
        self._reader = InMemoryMetricReader()
        resource = Resource.create(
            {
                "service.name": "acaciawing",
                "service.instance.id": instance,
                "cloud.availability_zone": zone,
            }
        )
        provider = MeterProvider([self._reader], resource)
        meter = provider.get_meter("acaciawing")
        for name, (unit, description) in COUNTERS.items():
            meter.create_observable_counter(
                name, [self._callback(name)], unit, description
            )
        for name, (unit, description) in GAUGES.items():
            meter.create_observable_gauge(
                name, [self._callback(name)], unit, description
            )

    def _callback(
        self, name: str
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for labels, value in self._values.get(name, {}).items():
                yield Observation(value, dict(labels))

        return observe

    def collect(self) -> str:
        """Collects all instruments; thread-safe.

        Returns:
            The metrics data in the JSON form of the OpenTelemetry SDK.
        """
        with self._lock:
            self._values = self._collect_values()
            data = self._reader.get_metrics_data()
        return data.to_json(indent=None) if data is not None else "{}"
