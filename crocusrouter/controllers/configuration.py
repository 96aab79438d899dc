"""The configuration in force, and who owns which data centre.

One watch on the control keys carries both. A revision only rises: an older
catalog, as a store that was repaired from a backup would serve, is refused,
counted and logged, and the newer one stays in force.
"""

from collections.abc import Callable
import dataclasses
import random

import trio

from crocusrouter import codec
from crocusrouter import store
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.templates import Catalog
from crocusrouter.templates import InvalidTemplateError
from crocusrouter.templates import parse_catalog

_LONGEST_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True)
class OwnerRecord:
    """Who decides on a data centre.

    Attributes:
        owner: Name of the entry; empty once it was released.
        epoch: Rises with each takeover and fences earlier owners.
        renewals: Rises with each renewal, so that a change can be seen.
    """

    owner: str
    epoch: int
    renewals: int


@dataclasses.dataclass(frozen=True)
class Observation:
    """An ownership record and when it was first seen like this.

    Attributes:
        record: The raw record, which a takeover must replace.
        owner: What it says.
        seen_at: Seconds on our own clock.
    """

    record: store.Record
    owner: OwnerRecord
    seen_at: float


class Configuration:
    """The catalog and the owners, as this entry knows them."""

    def __init__(self, prefix: str, metrics: Metrics) -> None:
        """Start with nothing in force.

        Args:
            prefix: Prefix of all keys, ending in "/".
            metrics: Counts what is refused.
        """
        self.control_prefix = f"{prefix}control/"
        self.catalog_key = f"{self.control_prefix}catalog"
        self.owners_prefix = f"{self.control_prefix}owners/"
        # Outside the watched prefix: nobody needs old versions at once.
        self.history_prefix = f"{prefix}history/"
        self.catalog = Catalog()
        self.catalog_record: store.Record | None = None
        self.is_vouched = False
        self.alarm = ""
        self.owners: dict[str, Observation] = {}
        self.listeners: list[Callable[[], None]] = []
        self._metrics = metrics

    def take_catalog(self, catalog: Catalog) -> bool:
        """Put a catalog in force unless it is older than the present one."""
        if catalog.revision < self.catalog.revision:
            self._metrics.count_event("older-revision-refused")
            self.alarm = (
                f"the store offers revision {catalog.revision}, older than "
                f"{self.catalog.revision}, which stays in force; write it "
                "back with: crocusrouter template apply"
            )
            log("configuration:older-revision", alarm=self.alarm)
            return False
        self.is_vouched = True
        if catalog.revision > self.catalog.revision:
            self.alarm = ""
            self.catalog = catalog
            log("configuration:in-force", revision=catalog.revision)
            for listener in self.listeners:
                listener()
        return True

    def take_snapshot(self, snapshot: store.Snapshot, now: float) -> None:
        """Take all control records as read at once."""
        for record in snapshot.records:
            self.take_record(record, now)
        # An absent catalog is vouched for as well: the store was asked.
        self.is_vouched = True

    def take_record(self, record: store.Record, now: float) -> None:
        """Take one control record, as read or watched."""
        if record.key == self.catalog_key:
            self._take_catalog_record(record)
        elif record.key.startswith(self.owners_prefix):
            self._take_owner(record, now)

    def _take_catalog_record(self, record: store.Record) -> None:
        held = self.catalog_record
        if held is not None and record.revision < held.revision:
            # A late event of a watch, or a store that went back; the catalog
            # itself tells which.
            self._metrics.count_event("older-record-seen")
        try:
            catalog = parse_catalog(record.value)
        except InvalidTemplateError as error:
            self.alarm = f"the catalog in the store is damaged: {error}"
            log("configuration:damaged", alarm=self.alarm)
            return
        if self.take_catalog(catalog):
            self.catalog_record = record

    def _take_owner(self, record: store.Record, now: float) -> None:
        data_centre = record.key.removeprefix(self.owners_prefix)
        held = self.owners.get(data_centre)
        if held is not None and record.revision <= held.record.revision:
            return
        owner = codec.unpack(OwnerRecord, record.value)
        self.owners[data_centre] = Observation(record, owner, now)

    def find_owner(self, data_centre: str) -> str:
        """Return the owner's name, or "" if none is known."""
        held = self.owners.get(data_centre)
        return held.owner.owner if held is not None else ""


async def watch_configuration(
    configuration: Configuration,
    client: store.StoreClient,
    silence_limit_s: float,
    rng: random.Random,
) -> None:
    """Follow the control keys until cancelled.

    After a broken or silent watch everything is read again, so that no
    change is missed. The pause before that is random: when the service comes
    back, entries don't all read at once.

    Args:
        configuration: What to keep up to date.
        client: The key-value service.
        silence_limit_s: How long a watch may say nothing.
        rng: Source of randomness.
    """
    prefix = configuration.control_prefix
    while True:
        try:
            snapshot = await client.read_prefix(prefix)
            configuration.take_snapshot(snapshot, trio.current_time())
            async for events in client.watch(
                prefix, snapshot.revision + 1, silence_limit_s=silence_limit_s
            ):
                _take_events(configuration, events, trio.current_time())
        except store.StoreUnavailableError as error:
            log("configuration:watch-lost", error=str(error))
        except ValueError as error:
            log("configuration:damaged-record", error=str(error))
        await trio.sleep(rng.uniform(0.0, _LONGEST_PAUSE_S))


def _take_events(
    configuration: Configuration, events: tuple[store.Event, ...], now: float
) -> None:
    for event in events:
        if isinstance(event, store.Changed):
            configuration.take_record(event.record, now)
