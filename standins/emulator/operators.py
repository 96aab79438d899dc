"""Writes configurations as operators do, with changing routes and keys."""

import random
from typing import Any

import orjson

from standins.emulator import config_oracle as config_oracles
from standins.emulator import store as stores

# Routes and keys that are added and removed; no job uses them.
ROUTES = ("/r0/", "/r1/", "/r2/")
KEYS = ("k0", "k1", "k2")
# Invalid documents, which must not be put in force; "%d" is the version.
INVALID_DOCUMENTS = (
    b"",
    b'{"version": %d',
    b'{"version": "none"}',
    b'{"version": %d, "routes": [{"name": "r"}]}',
    b'{"version": %d, "routes": 5}',
)


class Operators:
    """Writes whole configurations, one version after another.

    Attributes:
        config_oracle: The oracle that is told of each confirmed version.
    """

    def __init__(
        self,
        store: stores.Store,
        key: str,
        config_oracle: config_oracles.ConfigOracle,
        base: dict[str, Any],
    ) -> None:
        """Prepare without writing.

        Args:
            store: The key-value service.
            key: Key of the configuration in the store.
            config_oracle: The oracle that is told of each confirmed version.
            base: The document without its version. Added routes are copies of
                its first route, and added keys belong to its first customer.
        """
        self.config_oracle = config_oracle
        self._store = store
        self._key = key
        self._base = base
        self._added_routes: set[str] = set()
        self._added_keys: set[str] = set()
        self._version = 1

    def set_base(self, base: dict[str, Any], now: float) -> None:
        """Replace the base document and write the next version."""
        self._base = base
        self.write(now)

    def toggle(self, route: str, key: str, now: float) -> None:
        """Add a route and a key, each if it isn't there, else remove it."""
        self._added_routes ^= {route}
        self._added_keys ^= {key}
        self.write(now)

    def draw_change(self, rng: random.Random, now: float) -> None:
        """Toggle a drawn route, key or both; rarely write an invalid one."""
        if rng.random() < 0.1:
            self.write_invalid(rng.choice(INVALID_DOCUMENTS), now)
            return
        what = rng.choice(("route", "key", "both"))
        if what != "key":
            self._added_routes ^= {rng.choice(ROUTES)}
        if what != "route":
            self._added_keys ^= {rng.choice(KEYS)}
        self.write(now)

    def write(self, now: float) -> None:
        """Write the next version and report it as confirmed."""
        self._version += 1
        document = self._build_document()
        self._store.put(self._key, orjson.dumps(document))
        prefixes = (route["prefix"] for route in document["routes"])
        customers = document["tenants"]
        keys = (key for row in customers for key in row["api_keys"])
        self.config_oracle.note_confirmed(
            config_oracles.ConfigVersion(
                self._version, frozenset(prefixes), frozenset(keys)
            ),
            now,
        )

    def write_invalid(self, template: bytes, now: float) -> None:
        """Write an invalid document as the next version."""
        self._version += 1
        document = template.replace(b"%d", str(self._version).encode())
        self._store.put(self._key, document)
        self.config_oracle.note_confirmed(
            config_oracles.ConfigVersion(
                self._version, frozenset(), frozenset(), valid=False
            ),
            now,
        )

    def _build_document(self) -> dict[str, Any]:
        base_route = self._base["routes"][0]
        added_routes = [
            base_route | {"name": f"extra{number}", "prefix": prefix}
            for number, prefix in enumerate(sorted(self._added_routes))
        ]
        customer, *other_customers = self._base["tenants"]
        keys = [*customer["api_keys"], *sorted(self._added_keys)]
        return self._base | {
            "version": self._version,
            "routes": [*self._base["routes"], *added_routes],
            "tenants": [customer | {"api_keys": keys}, *other_customers],
        }
