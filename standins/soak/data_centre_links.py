"""Links between data centres, which can be cut.

Callers in each data centre reach workers and entries through proxies of their
own. The store holds one address of each; callers are shown others.
"""

import collections
from collections.abc import Sequence
import dataclasses
import re

import trio

from standins.soak import proxy as proxies

_ADDRESS = re.compile(rb"127\.0\.0\.1:\d{5}")


@dataclasses.dataclass(frozen=True)
class _Link:
    """A proxy, with the data centres of its callers and of its target."""

    caller: str
    target: str
    proxy: proxies.Proxy


class DataCentreLinks:
    """Proxies from the callers of each data centre to all targets.

    Attributes:
        isolated: The data centre that is cut off; empty if none is.
    """

    def __init__(self, caller_data_centres: Sequence[str]) -> None:
        """Start without targets.

        Args:
            caller_data_centres: The data centres that hold entries.
        """
        self._callers = tuple(caller_data_centres)
        self._links: list[_Link] = []
        self._shown: dict[str, dict[bytes, bytes]] = collections.defaultdict(
            dict
        )
        self._stored: dict[bytes, bytes] = {}
        self.isolated = ""

    async def add_target(
        self, nursery: trio.Nursery, port: int, data_centre: str
    ) -> None:
        """Open the proxies to one port of a data centre."""
        stored = f"127.0.0.1:{port}".encode()
        for caller in self._callers:
            proxy = proxies.Proxy(port)
            await nursery.start(proxy.run)
            self._links.append(_Link(caller, data_centre, proxy))
            shown = f"127.0.0.1:{proxy.port}".encode()
            self._shown[caller][stored] = shown
            self._stored[shown] = stored

    def show_addresses(self, value: bytes, caller: str) -> bytes:
        """Replace the addresses in a value that a data centre's entry reads."""
        return _replace_addresses(value, self._shown[caller])

    def restore_addresses(self, value: bytes) -> bytes:
        """Replace shown addresses in a value that an entry writes."""
        return _replace_addresses(value, self._stored)

    def isolate(self, data_centre: str, fault: proxies.LinkFault) -> None:
        """Cut a data centre off from the others by a fault of its links."""
        self.isolated = data_centre
        for link in self._links:
            if (link.caller == data_centre) != (link.target == data_centre):
                link.proxy.fault = fault

    def heal(self) -> None:
        """Make all links work again."""
        self.isolated = ""
        for link in self._links:
            link.proxy.fault = proxies.LinkFault.NONE


def _replace_addresses(value: bytes, addresses: dict[bytes, bytes]) -> bytes:
    return _ADDRESS.sub(lambda match: addresses.get(match[0], match[0]), value)
