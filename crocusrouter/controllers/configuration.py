"""The catalog in force and the owners of data centres, as watched in the store.

One watch on the control keys delivers both. The revision in force never
decreases: a key-value service that was restored from a backup may serve an
older catalog. The entry then counts and logs the older revision, and the newer
one stays in force.
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

_MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class OwnerRecord:
    """Which entry owns a data centre, as the key-value service stores it.

    Attributes:
        owner: Name of the entry; empty if it released the data centre.
        epoch: Incremented by each takeover; it fences earlier owners.
        renewals: Incremented by each renewal, so that watches see a change.
    """

    owner: str
    epoch: int
    renewals: int


@dataclasses.dataclass(frozen=True)
class OwnerObservation:
    """One version of an owner record, and when this process first saw it.

    It has the record as stored, which a takeover must replace, the decoded
    record, and the time in seconds on our own clock.
    """

    record: store.Record
    owner_record: OwnerRecord
    first_seen_at: float


class Configuration:
    """The catalog and the owners, as this entry knows them.

    Attributes:
        catalog: The catalog in force.
        catalog_record: The stored record of the latest catalog read.
        is_confirmed: Whether the key-value service or a ready peer has told
            this entry the catalog in force.
        alarm: What is wrong with the stored catalog; empty if nothing is.
        listeners: Called after each change of the catalog.
    """

    def __init__(self, prefix: str, metrics: Metrics) -> None:
        """Start with nothing in force.

        Args:
            prefix: Prefix of all keys, ending in "/".
            metrics: Counts catalogs and records that are out of date.
        """
        self.control_prefix = f"{prefix}control/"
        self.catalog_key = f"{self.control_prefix}catalog"
        self.owners_prefix = f"{self.control_prefix}owners/"
        # Outside the watched prefix, since no entry needs to be told of old
        # versions.
        self.history_prefix = f"{prefix}history/"
        self.catalog = Catalog()
        self.catalog_record: store.Record | None = None
        self.is_confirmed = False
        self.alarm = ""
        self.owner_observations: dict[str, OwnerObservation] = {}
        self.listeners: list[Callable[[], None]] = []
        self._metrics = metrics

    def adopt_catalog(self, catalog: Catalog) -> bool:
        """Put a catalog in force unless it is older than the current one.

        Returns:
            False if the catalog is older, else True.
        """
        if catalog.revision < self.catalog.revision:
            self._metrics.count_event("older-revision-refused")
            self.alarm = (
                f"the store offers revision {catalog.revision}, older than "
                f"{self.catalog.revision}, which stays in force; write it "
                "back with: crocusrouter template apply"
            )
            log("configuration:older-revision", alarm=self.alarm)
            return False
        self.is_confirmed = True
        if catalog.revision > self.catalog.revision:
            self.alarm = ""
            self.catalog = catalog
            log("configuration:in-force", revision=catalog.revision)
            for listener in self.listeners:
                listener()
        return True

    def apply_snapshot(self, snapshot: store.Snapshot, now: float) -> None:
        """Apply all control records, as read in one snapshot."""
        for record in snapshot.records:
            self.apply_record(record, now)
        # A missing catalog is confirmed as well, since the store was read.
        self.is_confirmed = True

    def apply_record(self, record: store.Record, now: float) -> None:
        """Apply one control record that was read or watched."""
        if record.key == self.catalog_key:
            self._apply_catalog_record(record)
        elif record.key.startswith(self.owners_prefix):
            self._apply_owner_record(record, now)

    def _apply_catalog_record(self, record: store.Record) -> None:
        current = self.catalog_record
        if current is not None and record.revision < current.revision:
            # This is a delayed watch event, or the store was restored from a
            # backup. The catalog's own revision tells which.
            self._metrics.count_event("older-record-seen")
        try:
            catalog = parse_catalog(record.value)
        except InvalidTemplateError as error:
            self.alarm = f"the catalog in the store is damaged: {error}"
            log("configuration:damaged", alarm=self.alarm)
            return
        if self.adopt_catalog(catalog):
            self.catalog_record = record

    def _apply_owner_record(self, record: store.Record, now: float) -> None:
        """Apply an owner record, unless a version as recent is known."""
        data_centre = record.key.removeprefix(self.owners_prefix)
        observation = self.owner_observations.get(data_centre)
        if (
            observation is not None
            and record.revision <= observation.record.revision
        ):
            return
        try:
            owner_record = codec.unpack(OwnerRecord, record.value)
        except codec.BadMessageError as error:
            log(
                "configuration:damaged-record", key=record.key, error=str(error)
            )
            return
        self.owner_observations[data_centre] = OwnerObservation(
            record, owner_record, now
        )

    def find_owner_name(self, data_centre: str) -> str:
        """Return the name of the owning entry, or "" if none is known."""
        observation = self.owner_observations.get(data_centre)
        return observation.owner_record.owner if observation is not None else ""


async def watch_configuration(
    configuration: Configuration,
    store_client: store.StoreClient,
    silence_limit_s: float,
    rng: random.Random,
) -> None:
    """Keep a configuration up to date from a watch until cancelled.

    When a watch breaks or goes silent, all control keys are read again, so
    that no change is missed. The delay before that is random, so that the
    entries don't all read at the same time when the service recovers.

    Args:
        configuration: The configuration to keep up to date.
        store_client: Client of the key-value service.
        silence_limit_s: Seconds without an event after which a watch ends.
        rng: Source of the random delays.
    """
    prefix = configuration.control_prefix
    while True:
        try:
            snapshot = await store_client.read_prefix(prefix)
            configuration.apply_snapshot(snapshot, trio.current_time())
            async for events in store_client.watch(
                prefix, snapshot.revision + 1, silence_limit_s=silence_limit_s
            ):
                _apply_events(configuration, events, trio.current_time())
        except store.StoreUnavailableError as error:
            log("configuration:watch-lost", error=str(error))
        except ValueError as error:
            log("configuration:damaged-record", error=str(error))
        await trio.sleep(rng.uniform(0.0, _MAX_RETRY_DELAY_S))


def _apply_events(
    configuration: Configuration, events: tuple[store.Event, ...], now: float
) -> None:
    for event in events:
        if isinstance(event, store.Changed):
            configuration.apply_record(event.record, now)
