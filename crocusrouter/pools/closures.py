"""Tracks which data centres operators have closed to new work.

The watch of the operators' keys reports a closure at once, but a lost answer
shows nothing. So an owner starts tasks only while a complete list of the
closures is recent enough for the bound that operators are promised. Reads of
the operators' keys bring such lists, and so do answers of peers.
"""

from collections.abc import Callable
import dataclasses

from crocusrouter.pools import clocks
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# Shares of the time within which a closure must be in force. Tasks start by a
# list of closures of this age at most; the rest is for a start on its way.
_MAX_AGE_SHARE = 0.8
# An owner reads the list again at this age. One lost answer then delays no
# start.
_CHECK_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class ClosureSource:
    """Location and format of the operators' closures.

    Attributes:
        find_data_centre: Returns the data centre that a key closes; None if
            the key is no closure. Raises ValueError for a malformed one.
        apply_s: Seconds within which a confirmed closure must be in force.
    """

    find_data_centre: Callable[[str], str | None] = lambda _: None
    apply_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class ClosureList:
    """All closures as of one revision of the key-value service.

    Attributes:
        data_centres: The closed data centres.
        revision: Every change up to this revision is included; 0 if the
            closures were never read.
        confirmed_at: Steady time at which the list was certainly complete;
            None if it never was.
    """

    data_centres: frozenset[str] = frozenset()
    revision: int = 0
    confirmed_at: float | None = None


class Closures:
    """The closed data centres as known to one entry.

    Attributes:
        listeners: Called with the closed data centres after each change.
    """

    def __init__(
        self, source: ClosureSource, clock: clocks.Clock, metrics: Metrics
    ) -> None:
        """Start without knowing any closure.

        Args:
            source: Location and format of the closures.
            clock: Source of the current time.
            metrics: Counts malformed keys and changes.
        """
        self.listeners: list[Callable[[frozenset[str]], None]] = []
        self._source = source
        self._clock = clock
        self._metrics = metrics
        self._list = ClosureList()
        self._malformed_keys: set[str] = set()
        self._is_stale = False

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres that are closed."""
        return self._list.data_centres

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._list.revision

    def measure_age(self, now: float) -> float | None:
        """Return the seconds since the list was certainly complete."""
        confirmed_at = self._list.confirmed_at
        return None if confirmed_at is None else max(0.0, now - confirmed_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether tasks may start by this list; logs a change.

        Args:
            now: Steady time in seconds.
        """
        age_s = self.measure_age(now)
        is_stale = (
            age_s is None or age_s > _MAX_AGE_SHARE * self._source.apply_s
        )
        if is_stale is not self._is_stale:
            self._is_stale = is_stale
            log(
                "closures:stale" if is_stale else "closures:fresh",
                age_s=None if age_s is None else round(age_s, 3),
            )
            if is_stale:
                self._metrics.count_event("closures-stale")
        return not is_stale

    def find_next_check(self) -> float:
        """Return the steady time at which an owner must read the list again."""
        if self._list.confirmed_at is None:
            return float("-inf")
        return self._list.confirmed_at + _CHECK_SHARE * self._source.apply_s

    def apply_events(self, events: tuple[records.Event, ...]) -> None:
        """Apply the events of a watch of the operators' keys, in order.

        Events that a complete list already includes change nothing.
        """
        data_centres = set(self._list.data_centres)
        revision = self._list.revision
        for event in events:
            if records.get_event_revision(event) <= self._list.revision:
                continue
            revision = max(revision, records.get_event_revision(event))
            if isinstance(event, records.Removed):
                data_centres.discard(self._find_data_centre(event.key) or "")
            else:
                data_centre = self._find_data_centre(event.record.key)
                if data_centre is not None:
                    data_centres.add(data_centre)
        self._replace(
            ClosureList(
                frozenset(data_centres), revision, self._list.confirmed_at
            ),
            "watch",
        )

    def apply_snapshot(
        self, snapshot: records.Snapshot, asked_at: float
    ) -> None:
        """Apply all operators' records as read from the key-value service.

        Args:
            snapshot: The records.
            asked_at: Steady time at which they were requested.
        """
        if snapshot.revision >= self._list.revision:
            found = (
                self._find_data_centre(record.key)
                for record in snapshot.records
            )
            data_centres = frozenset(name for name in found if name is not None)
            self._replace(
                ClosureList(
                    data_centres, snapshot.revision, self._list.confirmed_at
                ),
                "read",
            )
        self._confirm(asked_at)

    def apply_peer_list(self, closure_list: ClosureList, peer: str) -> None:
        """Apply a peer's complete list.

        A list of an earlier revision still confirms ours: all that it includes
        is included here as well.
        """
        if closure_list.revision > self._list.revision:
            self._replace(
                dataclasses.replace(
                    closure_list, confirmed_at=self._list.confirmed_at
                ),
                peer,
            )
        if closure_list.confirmed_at is not None:
            self._confirm(closure_list.confirmed_at)

    def _confirm(self, asked_at: float) -> None:
        """Record that the list was complete at a steady time."""
        confirmed_at = self._list.confirmed_at
        if confirmed_at is None or asked_at > confirmed_at:
            self._list = dataclasses.replace(self._list, confirmed_at=asked_at)

    def _replace(self, closure_list: ClosureList, source: str) -> None:
        before = self._list
        self._list = closure_list
        if closure_list.data_centres == before.data_centres:
            return
        age_s = self.measure_age(self._clock.steady())
        log(
            "closures:changed",
            closed=sorted(closure_list.data_centres),
            before=sorted(before.data_centres),
            revision=closure_list.revision,
            source=source,
            age_s=None if age_s is None else round(age_s, 3),
        )
        self._metrics.count_event("closures-changed")
        for listener in self.listeners:
            listener(closure_list.data_centres)

    def _find_data_centre(self, key: str) -> str | None:
        """Return the data centre that a key closes, or None."""
        try:
            return self._source.find_data_centre(key)
        except ValueError as error:
            if key not in self._malformed_keys:
                self._malformed_keys.add(key)
                self._metrics.count_event("closure-malformed")
                log("closures:malformed", key=key, error=str(error))
            return None
