"""Holds the configuration in force at one entry and bounds its age."""

from collections.abc import Callable
import dataclasses

from crocusrouter import queues
from crocusrouter.pools import clocks
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# Limits of the configuration's age, as shares of the time in which operators
# are promised that a change is in force. No call is decided by a configuration
# that was last confirmed longer ago than this; the rest is margin.
_MAX_AGE_SHARE = 0.9
# Without calls, an entry asks again at this age to stay ready. An owner asks
# earlier and confirms the configuration to all peers that exchange heartbeats
# with it.
_CHECK_SHARE = 1.6
_OWNER_CHECK_SHARE = 1.0
# While neither the store nor a peer answers, calls are decided up to this age
# and refused after that. The limit is above the others, so that regular checks
# keep an entry ready.
_MAX_UNCONFIRMED_AGE_SHARE = 2.5


@dataclasses.dataclass(frozen=True)
class ConfigBasis:
    """The configuration by which a call was decided.

    Attributes:
        version: Its version; 0 if there was none.
        age_s: Seconds since it was certainly the newest; None if it never was.
    """

    version: int
    age_s: float | None

    def build_log_fields(self) -> dict[str, float | int | None]:
        """Return the fields of a log line."""
        age = None if self.age_s is None else round(self.age_s, 3)
        return {"version": self.version, "config_age_s": age}


class Configuration:
    """Holds the newest valid configuration; its version never decreases."""

    def __init__(
        self,
        key: str,
        parse: Callable[[bytes], queues.Config],
        apply_s: float,
        clock: clocks.Clock,
        metrics: Metrics,
    ) -> None:
        """Start without a configuration.

        Args:
            key: Key of the operators' configuration in the store.
            parse: Decodes a document; raises ValueError if it is invalid.
            apply_s: Seconds within which a confirmed change has to be in force.
            clock: Source of the current time.
            metrics: Counts versions and invalid documents.
        """
        self.key = key
        self.current: queues.Config | None = None
        self.document = b""
        self.listeners: list[Callable[[queues.Config], None]] = []
        self._parse = parse
        self._apply_s = apply_s
        self._clock = clock
        self._metrics = metrics
        self._confirmed_at: float | None = None
        self._invalid_document = b""

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return self.current.version if self.current is not None else 0

    def is_current(self, now: float) -> bool:
        """Return whether it has every change that operators may rely on."""
        return self._is_younger(_MAX_AGE_SHARE * self._apply_s, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether calls may be decided although no check is answered."""
        return self._is_younger(_MAX_UNCONFIRMED_AGE_SHARE * self._apply_s, now)

    def _is_younger(self, limit_s: float, now: float) -> bool:
        age = self.measure_age(now)
        return self.current is not None and age is not None and age < limit_s

    def find_next_check(self, is_owner: bool) -> float:
        """Return the steady time at which to ask for the newest version.

        Args:
            is_owner: Whether this entry owns a pool.
        """
        if self._confirmed_at is None:
            return float("-inf")
        share = _OWNER_CHECK_SHARE if is_owner else _CHECK_SHARE
        return self._confirmed_at + share * self._apply_s

    def measure_age(self, now: float) -> float | None:
        """Return the seconds since it was certainly the newest version."""
        if self._confirmed_at is None:
            return None
        return max(0.0, now - self._confirmed_at)

    def describe(self, now: float) -> ConfigBasis:
        """Return the basis for a call that is decided now."""
        return ConfigBasis(self.version, self.measure_age(now))

    def confirm_newest(self, asked_at: float) -> None:
        """Record that at this time it was the newest version.

        Args:
            asked_at: When the question was sent, not when its answer arrived:
                the answer may have been in flight for seconds.
        """
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def apply(self, document: bytes, source: str) -> bool:
        """Put a configuration in force if it is valid and newer.

        Returns:
            Whether it was valid and newer.
        """
        if document in (self.document, self._invalid_document):
            return False
        try:
            config = self._parse(document)
        except ValueError as error:
            self._invalid_document = document
            self._metrics.count_event("config-invalid")
            log(
                "config:invalid",
                source=source,
                in_force=self.version,
                error=str(error),
            )
            return False
        if config.version <= self.version:
            return False
        age = self.measure_age(self._clock.steady())
        log(
            "config:in-force",
            version=config.version,
            before=self.version,
            source=source,
            unheard_s=None if age is None else round(age, 3),
            queues=len(config.queues),
            customers=len(config.customers),
        )
        self.current = config
        self.document = document
        self._metrics.count_event("config-in-force")
        for listener in self.listeners:
            listener(config)
        return True

    def apply_events(self, events: tuple[records.Event, ...]) -> None:
        """Apply the events of a watch of the operators' keys."""
        for event in events:
            if isinstance(event, records.Removed):
                continue
            if event.record.key == self.key:
                self.apply(event.record.value, "store")
