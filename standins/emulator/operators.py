"""Writes configurations as operators do, with changing routes and keys."""

import random
from typing import Any

import orjson

from standins.emulator import changes as change_rules
from standins.emulator import store as stores

# Routes and keys that are added and removed; no job uses them.
ROUTES = ("/r0/", "/r1/", "/r2/")
KEYS = ("k0", "k1", "k2")
# Invalid documents, which must not be put in force; "%d" is the version.
INVALID = (
    b"",
    b'{"version": %d',
    b'{"version": "none"}',
    b'{"version": %d, "routes": [{"name": "r"}]}',
    b'{"version": %d, "routes": 5}',
)


class Operators:
    """Writes whole configurations, one version after another.

    Attributes:
        changes: The oracle that is told of each confirmed version.
    """

    def __init__(
        self,
        store: stores.Store,
        key: str,
        changes: change_rules.Changes,
        base: dict[str, Any],
    ) -> None:
        """Prepare without writing.

        Args:
            store: The key-value service.
            key: Key of the configuration in the store.
            changes: The oracle that is told of each confirmed version.
            base: The document without its version. Added routes are copies of
                its first route, and added keys belong to its first customer.
        """
        self.changes = changes
        self._store = store
        self._key = key
        self._base = base
        self._routes: set[str] = set()
        self._keys: set[str] = set()
        self._version = 1

    def set_base(self, base: dict[str, Any], now: float) -> None:
        """Replace the base document and write the next version."""
        self._base = base
        self.write(now)

    def toggle(self, route: str, key: str, now: float) -> None:
        """Add a route and a key, each if it isn't there, else remove it."""
        self._routes ^= {route}
        self._keys ^= {key}
        self.write(now)

    def draw_change(self, rng: random.Random, now: float) -> None:
        """Toggle a drawn route, key or both; rarely write an invalid one."""
        if rng.random() < 0.1:
            self.write_invalid(rng.choice(INVALID), now)
            return
        changed = rng.choice(("route", "key", "both"))
        if changed != "key":
            self._routes ^= {rng.choice(ROUTES)}
        if changed != "route":
            self._keys ^= {rng.choice(KEYS)}
        self.write(now)

    def write(self, now: float) -> None:
        """Write the next version and report it as confirmed."""
        self._version += 1
        document = self._build_document()
        self._store.put(self._key, orjson.dumps(document))
        prefixes = (route["prefix"] for route in document["routes"])
        customers = document["tenants"]
        keys = (key for row in customers for key in row["api_keys"])
        self.changes.note_confirmed(
            change_rules.Edition(
                self._version, frozenset(prefixes), frozenset(keys)
            ),
            now,
        )

    def write_invalid(self, form: bytes, now: float) -> None:
        """Write an invalid document as the next version."""
        self._version += 1
        document = form.replace(b"%d", str(self._version).encode())
        self._store.put(self._key, document)
        self.changes.note_confirmed(
            change_rules.Edition(
                self._version, frozenset(), frozenset(), valid=False
            ),
            now,
        )

    def _build_document(self) -> dict[str, Any]:
        first = self._base["routes"][0]
        routes = [
            first | {"name": f"extra{number}", "prefix": prefix}
            for number, prefix in enumerate(sorted(self._routes))
        ]
        customer, *others = self._base["tenants"]
        keys = [*customer["api_keys"], *sorted(self._keys)]
        return self._base | {
            "version": self._version,
            "routes": [*self._base["routes"], *routes],
            "tenants": [customer | {"api_keys": keys}, *others],
        }
