"""Records impairments; tells which entries are in touch, and what is calm."""

# `stable_window_ms` of the users' sites.
STABLE_WINDOW_S = 3.0


class ImpairmentLog:
    """Records when entries, workers and the key-value service were impaired.

    An entry is in touch if neither it nor the service has been impaired for
    `STABLE_WINDOW_S`. The state of its peers doesn't matter.
    """

    def __init__(self) -> None:
        self._impaired_at: dict[str, float] = {}
        self._store_impaired_at = float("-inf")
        self._links_impaired_at = float("-inf")
        self._shut_down_at = float("-inf")

    def note_impaired(self, entry: str, now: float) -> None:
        """Record that an entry or worker, or a path to it, is impaired."""
        self._impaired_at[entry] = now

    def note_store_impaired(self, now: float) -> None:
        """Record that the key-value service is impaired."""
        self._store_impaired_at = now

    def note_links_impaired(self, now: float) -> None:
        """Record that links between entries, or some watches, are impaired.

        Only `find_calm_since` counts it.
        """
        self._links_impaired_at = now

    def note_shutting_down(self, now: float) -> None:
        """Record that a worker drains, or has left after it drained."""
        self._shut_down_at = now

    def explain_impairment(self, entry: str, at: float) -> str:
        """Return why an entry was not in touch at a time; empty if it was.

        Args:
            entry: Name of the entry.
            at: The time, in seconds. An impairment counts if its latest record
                is at most `STABLE_WINDOW_S` older than this time, or newer.
        """
        if self._store_impaired_at >= at - STABLE_WINDOW_S:
            return "store impaired"
        impaired_at = self._impaired_at.get(entry, float("-inf"))
        return "entry impaired" if impaired_at >= at - STABLE_WINDOW_S else ""

    def is_unimpaired_since(self, since: float) -> bool:
        """Tell whether nothing was impaired or shutting down since a time."""
        latest = max(
            *self._impaired_at.values(),
            self._store_impaired_at,
            self._shut_down_at,
        )
        return latest < since

    def find_calm_since(self) -> float:
        """Return the time of the latest impairment of anything.

        Graceful shutdowns of workers don't count. Minus infinity without any.
        """
        return max(
            *self._impaired_at.values(),
            self._store_impaired_at,
            self._links_impaired_at,
        )
