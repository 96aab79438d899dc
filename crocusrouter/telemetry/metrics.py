"""OpenTelemetry counters, histograms and gauges in Prometheus text format."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus as exporter
from opentelemetry.sdk import metrics as sdk
import prometheus_client

from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RetryReason

_METER = "crocusrouter"
# Followers must catch up within one second after the store's return; outages
# last several seconds.
_OUTAGE_BUCKETS_S = (0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0)
# Operators are promised that a configuration takes effect within seconds.
_CONFIG_AGE_BUCKETS_S = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0)
# Tasks of a cancelled job must have ended some three seconds after the cancel.
_CANCEL_BUCKETS_S = (0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
# Timers of an event loop that isn't blocked fire within milliseconds.
_STALL_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """The metrics of one entry.

    Each instance has a registry of its own, so that tests can run several in
    one process. Counts are also kept as plain numbers, so that `status` can
    show them without parsing the exposition text.

    Attributes:
        counts: Counts by key, such as "refused:queue-full".
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = exporter.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = sdk.MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        meter = self._provider.get_meter(_METER)
        self._refusals = meter.create_counter(
            "crocusrouter_refusals", description="Refusals by reason."
        )
        self._retries = meter.create_counter(
            "crocusrouter_retries", description="Retries by reason."
        )
        self._answers = meter.create_counter(
            "crocusrouter_answers", description="Small requests by outcome."
        )
        self._jobs = meter.create_counter(
            "crocusrouter_jobs", description="Job transitions by state."
        )
        self._store_calls = meter.create_counter(
            "crocusrouter_store_calls",
            description="Calls to the key-value service by kind and result.",
        )
        self._events = meter.create_counter(
            "crocusrouter_events",
            description="Membership, ownership and configuration events.",
        )
        self._outages = meter.create_histogram(
            "crocusrouter_follower_behind_seconds",
            unit="s",
            description="Time without an answer to a follower of the store.",
            explicit_bucket_boundaries_advisory=_OUTAGE_BUCKETS_S,
        )
        self._config_age = meter.create_histogram(
            "crocusrouter_configuration_age_seconds",
            unit="s",
            description="Age of the configuration by which calls are decided.",
            explicit_bucket_boundaries_advisory=_CONFIG_AGE_BUCKETS_S,
        )
        self._cancel_to_end = meter.create_histogram(
            "crocusrouter_cancel_to_end_seconds",
            unit="s",
            description="Time from when the owner knows of a cancel to the end "
            "of each run of the job.",
            explicit_bucket_boundaries_advisory=_CANCEL_BUCKETS_S,
        )
        self._stalls = meter.create_histogram(
            "crocusrouter_loop_stall_seconds",
            unit="s",
            description="How late a timer of the event loop came.",
            explicit_bucket_boundaries_advisory=_STALL_BUCKETS_S,
        )
        self._silence_readers: dict[
            object, tuple[str, Callable[[], float]]
        ] = {}
        meter.create_observable_gauge(
            "crocusrouter_follower_silent_seconds",
            unit="s",
            callbacks=[self._observe_silences],
            description="Time since a follower of the store had an answer.",
        )
        self._meter = meter
        self.counts: collections.Counter[str] = collections.Counter()

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count one refusal."""
        self._refusals.add(1, {"reason": str(reason)})
        self.counts[f"refused:{reason}"] += 1

    def count_retry(self, reason: RetryReason) -> None:
        """Count one retry."""
        self._retries.add(1, {"reason": str(reason)})
        self.counts[f"retried:{reason}"] += 1

    def count_answer(self, outcome: str, kind: str) -> None:
        """Count the final answer of a small request."""
        self._answers.add(1, {"outcome": outcome, "kind": kind})
        self.counts[f"answered:{outcome}"] += 1

    def count_job(self, state: str) -> None:
        """Count a job's transition to `state`."""
        self._jobs.add(1, {"state": state})
        self.counts[f"job:{state}"] += 1

    def count_store_call(self, call: str, result: str) -> None:
        """Count one call to the key-value service."""
        self._store_calls.add(1, {"call": call, "result": result})
        self.counts[f"store:{call}:{result}"] += 1

    def count_event(self, event: str) -> None:
        """Count a rare event such as a takeover or a rejected revision."""
        self._events.add(1, {"event": event})
        self.counts[f"event:{event}"] += 1

    def record_outage(self, prefix: str, seconds: float) -> None:
        """Record the length of an outage of a follower of `prefix`."""
        self._outages.record(seconds, {"prefix": prefix})

    def record_config_age(self, seconds: float) -> None:
        """Record the age of the configuration by which a call was decided."""
        self._config_age.record(seconds)

    def record_cancel_to_end(self, seconds: float) -> None:
        """Record how long a run went on after the cancel of its job."""
        self._cancel_to_end.record(seconds)

    def record_loop_stall(self, seconds: float) -> None:
        """Record by how much a timer of the event loop was late."""
        self._stalls.record(seconds)

    @contextlib.contextmanager
    def export_silence(
        self, prefix: str, read: Callable[[], float]
    ) -> Iterator[None]:
        """Export a follower's time without an answer while the context is open.

        The histogram of outages records an outage only when it ends; this
        gauge also shows outages that have not ended.

        Args:
            prefix: Prefix of the keys that it follows.
            read: Returns the seconds since its last answer.
        """
        registration = object()
        self._silence_readers[registration] = prefix, read
        try:
            yield
        finally:
            del self._silence_readers[registration]

    def _observe_silences(
        self, _: api.CallbackOptions
    ) -> Iterable[api.Observation]:
        longest_s: dict[str, float] = {}
        for prefix, read in self._silence_readers.values():
            longest_s[prefix] = max(read(), longest_s.get(prefix, 0.0))
        for prefix, seconds in longest_s.items():
            yield api.Observation(seconds, {"prefix": prefix})

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge `name` that calls `read` at each scrape."""

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            yield api.Observation(read())

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def register_labelled_gauge(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a gauge `name` with a value for each value of a label.

        Args:
            name: Name of the gauge.
            label: Name of the label.
            read: Returns the gauge's values by the label's; called at each
                scrape.
        """

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for label_value, number in read().items():
                yield api.Observation(number, {label: label_value})

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def expose(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut the meter provider and its reader down."""
        self._provider.shutdown()
