"""The configuration in force at one entry, and how old it may be."""

from collections.abc import Callable
import dataclasses

from crocusrouter import queues
from crocusrouter.pools import clocks
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# Shares of the time in which operators are promised a change to be in force.
# No call is decided by what was known longer ago than this; the rest is margin.
_DECIDE_SHARE = 0.9
# Without calls, an entry asks anew at this age to stay ready; an owner does so
# earlier and vouches for all who exchange heartbeats with it.
_LOOK_SHARE = 1.6
_OWNER_LOOK_SHARE = 1.0
# While nobody can be asked, calls are decided by what was known this long ago;
# after that they are refused. Above the others, so that looking keeps an entry
# ready.
_STALE_SHARE = 2.5


@dataclasses.dataclass(frozen=True)
class Basis:
    """By which configuration a call was decided.

    Attributes:
        version: Its version; 0 if there was none.
        age_s: Seconds since it was certainly the newest; None if never.
    """

    version: int
    age_s: float | None

    def show(self) -> dict[str, float | int | None]:
        """Return the fields of a log line."""
        age = None if self.age_s is None else round(self.age_s, 3)
        return {"version": self.version, "config_age_s": age}


class Configuration:
    """Holds the newest valid configuration; it only moves forward."""

    def __init__(
        self,
        key: str,
        parse: Callable[[bytes], queues.Config],
        apply_s: float,
        clock: clocks.Clock,
        metrics: Metrics,
    ) -> None:
        """Start with none.

        Args:
            key: Where the operators' newest one lies.
            parse: Decodes it; raises ValueError for what is none.
            apply_s: Seconds in which a confirmed change has to be in force.
            clock: Source of the current time.
            metrics: Counts versions.
        """
        self.key = key
        self.current: queues.Config | None = None
        self.document = b""
        self.listeners: list[Callable[[queues.Config], None]] = []
        self._parse = parse
        self._apply_s = apply_s
        self._clock = clock
        self._metrics = metrics
        self._vouched_at: float | None = None
        self._refused = b""

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return self.current.version if self.current is not None else 0

    def is_current(self, now: float) -> bool:
        """Tell whether no change can lack that operators may rely on."""
        return self._is_younger(_DECIDE_SHARE * self._apply_s, now)

    def is_fresh(self, now: float) -> bool:
        """Tell whether calls may be decided while nobody can be asked."""
        return self._is_younger(_STALE_SHARE * self._apply_s, now)

    def _is_younger(self, limit_s: float, now: float) -> bool:
        age = self.measure_age(now)
        return self.current is not None and age is not None and age < limit_s

    def find_next_look(self, is_owner: bool) -> float:
        """Return the steady time at which to ask for the newest one.

        Args:
            is_owner: Whether this entry owns a pool.
        """
        if self._vouched_at is None:
            return float("-inf")
        share = _OWNER_LOOK_SHARE if is_owner else _LOOK_SHARE
        return self._vouched_at + share * self._apply_s

    def measure_age(self, now: float) -> float | None:
        """Return the seconds since this was certainly the newest one."""
        if self._vouched_at is None:
            return None
        return max(0.0, now - self._vouched_at)

    def describe(self, now: float) -> Basis:
        """Return what a call that is decided now is decided by."""
        return Basis(self.version, self.measure_age(now))

    def vouch(self, at: float) -> None:
        """Note that at this moment it was the newest one.

        Args:
            at: When the question was sent, not when its answer arrived: the
                answer may have been on its way for seconds.
        """
        if self._vouched_at is None or at > self._vouched_at:
            self._vouched_at = at

    def take(self, document: bytes, source: str) -> bool:
        """Put a configuration in force if it is valid and newer.

        Returns:
            Whether it was.
        """
        if document in (self.document, self._refused):
            return False
        try:
            config = self._parse(document)
        except ValueError as error:
            self._refused = document
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

    def take_events(self, events: tuple[records.Event, ...]) -> None:
        """Take what a watch of the operators' keys saw."""
        for event in events:
            if isinstance(event, records.Removed):
                continue
            if event.record.key == self.key:
                self.take(event.record.value, "store")
