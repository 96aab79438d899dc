"""The configuration in force at one entry, and how fresh it is."""

from collections.abc import Callable

from crocusrouter import queues
from crocusrouter.pools import clock
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# A configuration that nobody has vouched for during this time may lack a
# change that is in force elsewhere: the entry answers 503 rather than by it.
STALE_S = 5.0


class Configuration:
    """Holds the newest configuration; it only moves forward."""

    def __init__(
        self,
        key: str,
        parse: Callable[[bytes], queues.Config],
        times: clock.Clock,
        metrics: Metrics,
    ) -> None:
        """Start with none.

        Args:
            key: Where the operators' newest one lies.
            parse: Decodes it; raises ValueError for what is none.
            times: The present time.
            metrics: Counts versions.
        """
        self.key = key
        self.current: queues.Config | None = None
        self.document = b""
        self.listeners: list[Callable[[queues.Config], None]] = []
        self._parse = parse
        self._times = times
        self._metrics = metrics
        self._vouched_at: float | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return self.current.version if self.current is not None else 0

    def is_fresh(self, now: float) -> bool:
        """Tell whether requests may be answered by it."""
        age = self.measure_age(now)
        return self.current is not None and age is not None and age < STALE_S

    def measure_age(self, now: float) -> float | None:
        """Return the seconds since it was last vouched for."""
        if self._vouched_at is None:
            return None
        return max(0.0, now - self._vouched_at)

    def describe(self, now: float) -> dict[str, float | int | None]:
        """Return what a line about a decision tells of its configuration."""
        age = self.measure_age(now)
        return {
            "version": self.version,
            "config_age_s": None if age is None else round(age, 3),
        }

    def _round_age(self) -> float | None:
        age = self.measure_age(self._times.steady())
        return None if age is None else round(age, 3)

    def vouch(self, at: float) -> None:
        """Note that at this moment it was the newest one."""
        if self._vouched_at is None or at > self._vouched_at:
            self._vouched_at = at

    def take(self, document: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer.

        Returns:
            Whether what is in force now is at least as new.
        """
        try:
            config = self._parse(document)
        except ValueError as error:
            self._metrics.count_event("config-invalid")
            log("config:invalid", source=source, error=str(error))
            return False
        if config.version <= self.version:
            return True
        log(
            "config:in-force",
            version=config.version,
            before=self.version,
            source=source,
            unheard_s=self._round_age(),
            queues=len(config.queues),
            customers=len(config.customers),
        )
        self.current = config
        self.document = document
        self._metrics.count_event("config-in-force")
        for listener in self.listeners:
            listener(config)
        return True

    def take_events(self, events: tuple[records.Event, ...]) -> None:
        """Take what a watch of the operators' keys saw."""
        for event in events:
            if isinstance(event, records.Removed):
                continue
            if event.record.key == self.key:
                self.take(event.record.value, "store")
