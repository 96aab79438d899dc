"""Builds docs/CAPACITY.md from the committed results.

Each number on the page is computed from committed figures, mostly as slope x
size + intercept, so none stands without its run. `python -m bench.capacity`
writes the page, and a test checks that it matches the results.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib

from bench import figures

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_TEMPLATE = pathlib.Path(__file__).parent / "capacity.md.in"

_ENTRIES_PER_USER = 9
_DAY_S = 86400
_TTL_S = 2.0
_WRITES_PER_JOB = 4
_JOURNAL_BUCKETS = 8
_BASE64_FACTOR = 4 / 3


@dataclasses.dataclass(frozen=True)
class Size:
    """A deployment whose needs the page estimates.

    Attributes:
        name: Heading of the column.
        workers: Number of workers.
        data_centres: Number of data centres.
        customers: Number of customers.
        jobs_per_day: Jobs per day.
        edits_per_day: Configuration changes per day.
        replaced_per_day: VMs replaced per day.
        entries: Number of entry VMs.
    """

    name: str
    workers: int
    data_centres: int
    customers: int
    jobs_per_day: int
    edits_per_day: int
    replaced_per_day: int
    entries: int = _ENTRIES_PER_USER


SIZES = (
    Size("FBUSW today", 24, 4, 4, 100, 10, 5),
    Size("Kilima today", 24, 3, 4, 100, 10, 5, entries=8),
    Size("letter 1", 1400, 10, 22, 2200, 740, 520),
    Size("10 x letter 1", 14000, 100, 220, 22000, 7400, 5200),
)


class Results:
    """Looks up committed figures by name."""

    def __init__(self, measured: Sequence[figures.Figure]) -> None:
        self._figures = measured

    def points(self, name: str, unit_prefix: str) -> list[tuple[float, float]]:
        """Return (size, value) of a figure whose size begins "N word"."""
        points = []
        for figure in self._figures:
            number, _, rest = figure.size.partition(" ")
            if figure.name == name and rest.startswith(unit_prefix):
                points.append((float(number), figure.value))
        return points

    def fit(self, name: str, unit_prefix: str) -> tuple[float, float]:
        """Return slope and intercept of the line through a figure's points."""
        return figures.fit_line(self.points(name, unit_prefix))

    def value(self, name: str, size: str = "") -> float:
        """Return the value of the first figure whose size contains `size`."""
        for figure in self._figures:
            if figure.name == name and size in figure.size:
                return figure.value
        raise KeyError(f"no figure {name} at {size!r}; run make measure")

    def spread(self, name: str) -> float:
        """Return the largest spread of a figure."""
        return max(f.spread for f in self._figures if f.name == name)


class Traffic:
    """Estimates the traffic of an entry except for its worker links."""

    def __init__(self, results: Results) -> None:
        self._catalog = results.fit("catalog_bytes", "customers")
        self._vms = results.fit("vm_list_bytes", "workers")
        self._bytes_per_job = (
            results.value("journal_bucket_bytes", "1000 jobs") / 1000
        )
        beats = results.value("mesh_bytes_per_s_all", "9 entries")
        self._bytes_per_peer = (
            beats / _ENTRIES_PER_USER / (_ENTRIES_PER_USER - 1)
        )

    def count_catalog(self, size: Size) -> float:
        """Return the size of the catalog in bytes."""
        slope, base = self._catalog
        return slope * size.customers + base

    def count_config(self, size: Size) -> float:
        """Return the bytes per second of catalog changes, in base64."""
        changes = size.edits_per_day / _DAY_S
        return changes * self.count_catalog(size) * _BASE64_FACTOR

    def count_vms(self, size: Size) -> float:
        """Return the bytes per second of VM lists, resent on each change."""
        slope, base = self._vms
        changes = 2 * size.replaced_per_day / _DAY_S
        return changes * (slope * size.workers + base)

    def count_journal(self, size: Size) -> float:
        """Return the bytes per second of journal writes, in base64."""
        kept = size.jobs_per_day / size.data_centres
        writes = size.jobs_per_day * _WRITES_PER_JOB / _DAY_S
        return (
            writes
            * self._bytes_per_job
            * kept
            / _JOURNAL_BUCKETS
            * _BASE64_FACTOR
            / size.entries
        )

    def count_mesh(self, size: Size) -> float:
        """Return the bytes per second of heartbeats with the other entries."""
        return self._bytes_per_peer * (size.entries - 1)

    def sum_traffic(self, size: Size) -> float:
        """Return the bytes per second of all this traffic."""
        return (
            self.count_mesh(size)
            + self.count_config(size)
            + self.count_vms(size)
            + self.count_journal(size)
        )


Row = tuple[str, Callable[[Size], str]]


def build_page(measured: Sequence[figures.Figure]) -> str:
    """Return the text of the page.

    Raises:
        KeyError: A figure that the page needs has not been measured.
    """
    results = Results(measured)
    text = _TEMPLATE.read_text()
    tables = {
        "@ROLES@": _build_roles(results),
        "@STORE@": _build_store(results),
        "@LEASES@": _build_leases(results),
        "@SLOPES@": _build_slopes(results),
        "@FIT@": _build_fit(results),
        "@FIGURES@": _build_figures(measured),
    }
    for placeholder, table in tables.items():
        text = text.replace(placeholder, table)
    return text


def _build_table(rows: Sequence[Row]) -> str:
    head = "| | " + " | ".join(size.name for size in SIZES) + " |"
    rule = "| --- |" + " ---: |" * len(SIZES)
    lines = [
        f"| {name} | " + " | ".join(format_cell(size) for size in SIZES) + " |"
        for name, format_cell in rows
    ]
    return "\n".join([head, rule, *lines])


def _build_roles(results: Results) -> str:
    cpu, cpu_base = results.fit("worker_link_cpu_percent", "workers, lease 6")
    wire, _ = results.fit("worker_link_bytes_per_s", "workers, lease 6")
    memory, base = results.fit("worker_link_memory_mb", "workers, lease 6")
    peer_cpu, _ = results.fit("mesh_cpu_percent", "entries")
    traffic = Traffic(results)

    def links(size: Size) -> float:
        return size.workers / size.entries

    def count_wire(size: Size) -> float:
        return wire * links(size)

    def count_cpu(size: Size) -> float:
        return cpu_base + cpu * links(size) + peer_cpu * (size.entries - 1)

    def show_total(size: Size) -> str:
        return f"{count_wire(size) + traffic.sum_traffic(size):,.0f}"

    rows: list[Row] = [
        ("entry VMs", lambda s: str(s.entries)),
        ("worker links an entry", lambda s: f"{links(s):.0f}"),
        ("worker link, wire B/s", lambda s: f"{count_wire(s):,.0f}"),
        (
            "mesh heartbeats, wire B/s",
            lambda s: f"{traffic.count_mesh(s):,.0f}",
        ),
        ("catalog, bytes", lambda s: f"{traffic.count_catalog(s):,.0f}"),
        (
            "configuration watcher, B/s",
            lambda s: f"{traffic.count_config(s):,.1f}",
        ),
        ("VM list (ETag), B/s", lambda s: f"{traffic.count_vms(s):,.1f}"),
        ("journal writes, B/s", lambda s: f"{traffic.count_journal(s):,.1f}"),
        ("**bytes in all, B/s (aim 5,000)**", show_total),
        ("processor, % of a core (aim 3.5)", lambda s: f"{count_cpu(s):.1f}"),
        (
            "control's own state, MB (aim 32)",
            lambda s: f"{memory * links(s):.1f}",
        ),
        (
            "whole process, MB",
            lambda s: f"{base + memory * links(s):.0f}",
        ),
    ]
    return _build_table(rows)


def _build_store(results: Results) -> str:
    idle = results.value("store_calls_per_entry_idle", "9 entries")
    renewal = 3 / _TTL_S

    def count_journal(size: Size) -> float:
        return size.jobs_per_day * _WRITES_PER_JOB / _DAY_S

    rows: list[Row] = [
        (
            "ownership renewals, writes/s",
            lambda s: f"{renewal * s.data_centres:.1f}",
        ),
        ("journal, writes/s", lambda s: f"{count_journal(s):.2f}"),
        (
            "edits, writes/s",
            lambda s: f"{s.edits_per_day / _DAY_S:.4f}",
        ),
        ("idle entries, reads/s", lambda s: f"{idle * s.entries:.1f}"),
        ("watches that wait", lambda s: str(s.entries)),
        (
            "worst minute: takeover of all, writes",
            lambda s: f"{s.data_centres * (1 + 8)}",
        ),
        (
            "worst minute: takeover of all, reads",
            lambda s: f"{s.data_centres * 8 + 2 * s.entries}",
        ),
        ("all entries return at once, calls", lambda s: f"{2 * s.entries}"),
    ]
    return _build_table(rows)


def _build_leases(results: Results) -> str:
    _, floor = results.fit("worker_link_bytes_per_s", "workers, lease 6")
    lines = [
        "| way | wire B/s for 140 workers | for each worker | letter 1, 9 "
        "entries | letter 1, 18 entries |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]

    def add(name: str, measured: float) -> None:
        each = measured / 140
        lines.append(
            f"| {name} | {measured:,.0f} | {each:.1f} | "
            f"{each * 1400 / 9:,.0f} | {each * 1400 / 18:,.0f} |"
        )

    polled = results.value("http_poll_bytes_per_s", "140 workers")
    add("HTTP/1.1 with JSON, a poll every 2 s", polled)
    for lease in ("6", "18", "30"):
        measured = results.value(
            "worker_link_bytes_per_s", f"140 workers, lease {lease} s"
        )
        add(f"websocket, CBOR, lease {lease} s", max(0.0, measured - floor))
    return "\n".join(lines)


def _build_fit(results: Results) -> str:
    """Describe an entry's traffic at letter 1 with a lease of 30 s."""
    _, floor = results.fit("worker_link_bytes_per_s", "workers, lease 6")
    links = results.value("worker_link_bytes_per_s", "140 workers, lease 30 s")
    traffic = Traffic(results)
    parts = []
    for entries in (9, 18):
        size = dataclasses.replace(SIZES[2], entries=entries)
        wire = (links - floor) / 140 * size.workers / entries
        total = wire + traffic.sum_traffic(size)
        parts.append(f"{total:,.0f} B/s on {entries} entries")
    return " and ".join(parts)


def _build_slopes(results: Results) -> str:
    table = [
        ("worker_link_cpu_percent", "workers, lease 6", "worker"),
        ("worker_link_bytes_per_s", "workers, lease 6", "worker"),
        ("worker_link_memory_mb", "workers, lease 6", "worker"),
        ("http_poll_cpu_percent", "workers, every", "worker"),
        ("mesh_cpu_percent", "entries", "entry"),
        ("process_memory_mb", "entries", "entry"),
        ("catalog_bytes", "customers", "customer"),
        ("catalog_parse_ms", "customers", "customer"),
        ("vm_list_bytes", "workers", "worker"),
        ("journal_bucket_bytes", "jobs", "job"),
        ("journal_write_ms", "jobs", "job"),
    ]
    lines = [
        "| figure | slope | a | intercept | largest spread |",
        "| --- | ---: | --- | ---: | ---: |",
    ]
    for name, unit_prefix, unit in table:
        slope, intercept = results.fit(name, unit_prefix)
        lines.append(
            f"| `{name}` | {slope:.4g} | {unit} | {intercept:.4g} | "
            f"{results.spread(name):.4g} |"
        )
    return "\n".join(lines)


def _build_figures(measured: Sequence[figures.Figure]) -> str:
    lines = [
        "| figure | value | unit | size | spread |",
        "| --- | ---: | --- | --- | ---: |",
    ]
    lines += [
        f"| `{f.name}` | {f.value:g} | {f.unit} | {f.size} | {f.spread:g} |"
        for f in measured
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    PAGE.write_text(build_page(figures.read_figures()))
