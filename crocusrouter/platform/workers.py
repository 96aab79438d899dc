"""Calls to workers over HTTP, and decoding of the platform's worker list.

The platform calls a worker a runner and lists it under `servers/`.
"""

import ipaddress
import re
from typing import Annotated
from typing import Any
from typing import Literal

import orjson
import pydantic

from crocusrouter.platform import calls
from crocusrouter.platform import names
from crocusrouter.telemetry import log
from crocusrouter.work import incarnations
from crocusrouter.work import model
from crocusrouter.work import worker_port

WORKERS_PREFIX = "servers/"
_HOLD_TIMEOUT_MARGIN_S = 0.6
_OK = 200
_MISDIRECTED = 421
_CONFLICT = 409
_UNHEALTHY_STATUSES = (429, 503)
_REJECTION_REASONS = {
    "fence": worker_port.RejectionReason.FENCED,
    "old": worker_port.RejectionReason.OLD,
    "late": worker_port.RejectionReason.LATE,
    "room": worker_port.RejectionReason.NO_ROOM,
    "ticket": worker_port.RejectionReason.NO_TICKET,
}
# "IP:port". Calls to an address of another form fail with errors that don't
# name the worker.
_ADDRESS = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
_MAX_PORT = 65535
# Calls name the worker in a header.
_WORKER_ID = re.compile(r"[!-~]+")
# Sums over all workers stay exact as floats.
_MAX_CAPACITY = 2.0**40
# Errors of decoding a report that does not have the published form.
_UNREADABLE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)
_RUN_OUTCOMES = {how.value: how for how in worker_port.RunOutcome}


class PlatformWorkerConnection:
    """Implements `work.worker_port.Connection`."""

    def __init__(self, incarnation: str, address: str) -> None:
        worker = incarnations.find_worker(incarnation)
        self._headers = {"X-Expect-Instance": worker}
        self._connection = calls.Connection(address)

    @property
    def is_open(self) -> bool:
        """Whether another call may be made; False after an unanswered call."""
        return self._connection.is_open

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Renew the lease, confirm ended runs and wait for another to end.

        Args:
            epoch: Fencing token of the owner.
            seen: Number of the latest end to confirm.
            until_ms: End of the lease on the worker's clock, or None to leave
                it as it is.
            wait_s: How long the worker may wait for a run to end.
        """
        document: dict[str, Any] = {"fencing_token": epoch, "last_seen": seen}
        if until_ms is not None:
            document["until_ms"] = until_ms
        if wait_s > 0:
            document["wait_ms"] = int(wait_s * 1000)
        result = await self._connection.call(
            "POST",
            "/hold",
            document,
            wait_s + _HOLD_TIMEOUT_MARGIN_S,
            self._headers,
        )
        failure = _parse_failure(result)
        if failure is not None:
            return failure
        assert isinstance(result, calls.Response)
        try:
            return _parse_report(result.document)
        except _UNREADABLE_ERRORS as error:
            return worker_port.NoAnswer(
                f"unreadable report: {error!r}", maybe_done=True
            )

    async def start(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        timeout_s: float,
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Start a run under a lease until `until_ms` on the worker's clock."""
        document: dict[str, Any] = {
            "task": names.build_task_name(order.key),
            "run_id": order.run,
            "spec": order.payload,
            "until_ms": until_ms,
            "fencing_token": epoch,
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        return await self._order("/run-start", document, timeout_s)

    async def stop(
        self, epoch: int, order: worker_port.Stop, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Stop a run."""
        document = {
            "task": names.build_task_name(order.key),
            "run_id": order.run,
            "fencing_token": epoch,
        }
        return await self._order("/run-stop", document, timeout_s)

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Set a run's speed as a percentage of its full speed."""
        document = {
            "task": names.build_task_name(order.key),
            "run_id": order.run,
            "percent": order.percent,
            "fencing_token": epoch,
        }
        return await self._order("/pace", document, timeout_s)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.aclose()

    async def _order(
        self, path: str, document: dict[str, Any], timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        result = await self._connection.call(
            "POST", path, document, timeout_s, self._headers
        )
        failure = _parse_failure(result)
        if failure is not None:
            return failure
        assert isinstance(result, calls.Response)
        clock_ms = result.document.get("clock_ms")
        return worker_port.Accepted(
            clock_ms if isinstance(clock_ms, int) else 0
        )


def _parse_failure(
    result: calls.CallResult,
) -> worker_port.Rejected | worker_port.NoAnswer | None:
    """Return why a call failed, or None if it succeeded."""
    if isinstance(result, calls.NoResponse):
        return worker_port.NoAnswer(result.cause, result.maybe_done)
    clock_ms = result.document.get("clock_ms")
    if result.status == _OK:
        return None
    if result.status == _CONFLICT:
        reason = _parse_reason(result.document.get("reason"))
        return worker_port.Rejected(reason, clock_ms)
    if result.status == _MISDIRECTED:
        return worker_port.Rejected(
            worker_port.RejectionReason.OTHER_INCARNATION
        )
    if result.status in _UNHEALTHY_STATUSES:
        return worker_port.Rejected(
            worker_port.RejectionReason.UNHEALTHY, clock_ms
        )
    return worker_port.Rejected(worker_port.RejectionReason.INVALID, clock_ms)


def _parse_reason(value: object) -> worker_port.RejectionReason:
    """Return why an order was rejected; INVALID for an unknown reason."""
    if not isinstance(value, str):
        return worker_port.RejectionReason.INVALID
    return _REJECTION_REASONS.get(value, worker_port.RejectionReason.INVALID)


def _parse_report(document: dict[str, Any]) -> worker_port.Report:
    runs = map(_parse_run, document.get("running", ()))
    ends = map(_parse_end, document.get("finished", ()))
    return worker_port.Report(
        int(document["clock_ms"]),
        tuple(run for run in runs if run is not None),
        tuple(end for end in ends if end is not None),
        _parse_start_time(document.get("born")),
    )


def _parse_start_time(value: object) -> int | None:
    """Return the Unix milliseconds of a worker's start, or None if unknown."""
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        return None
    return value


def _parse_run(row: list[Any]) -> worker_port.ReportedRun | None:
    key = names.parse_task_name(row[0])
    if key is None:
        log("worker:foreign-run", row=row)
        return None
    load = float(row[4]) if len(row) > 4 else 0.0
    return worker_port.ReportedRun(
        key, int(row[1]), str(row[2] or ""), float(row[3]), load
    )


def _parse_end(row: list[Any]) -> worker_port.RunEnd | None:
    key = names.parse_task_name(row[1])
    if key is None:
        log("worker:foreign-end", row=row)
        return None
    # An unknown outcome counts as BROKEN: neither a success nor the task's
    # fault.
    outcome = _RUN_OUTCOMES.get(row[3], worker_port.RunOutcome.BROKEN)
    return worker_port.RunEnd(
        int(row[0]), key, int(row[2]), outcome, str(row[4] or "")
    )


_Capacity = Annotated[float, pydantic.Field(ge=0, le=_MAX_CAPACITY)]


class _Room(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    cpu: _Capacity
    mem_mb: _Capacity
    gpu: _Capacity = 0


def _check_address(address: str) -> str:
    """Return an address; raises ValueError if nobody can listen there."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port of {address} is not from 1 to {_MAX_PORT}")
    return address


class _Listed(pydantic.BaseModel):
    """The fields that every worker writes into its own entry.

    Other writers use the list too, and their entries must not decode as
    workers. So required fields have no defaults, and no value is converted.
    """

    model_config = pydantic.ConfigDict(strict=True)

    service: str
    address: Annotated[
        str,
        pydantic.Field(pattern=_ADDRESS),
        pydantic.AfterValidator(_check_address),
    ]
    zone: str = ""
    state: Literal["ready", "draining"]
    capacity: _Room
    labels: list[str]
    # Set only while the worker drains: the minimum time until it stops.
    remaining_ms: float | None = None
    # Unix milliseconds of the process's start; None where each start has an
    # id of its own.
    born: Annotated[int, pydantic.Field(gt=0)] | None = None


def parse_worker_entry(
    key: str, value: bytes
) -> worker_port.WorkerEntry | None:
    """Decode an entry of the worker list, or return None if it is no worker."""
    worker = key.removeprefix(WORKERS_PREFIX)
    if _WORKER_ID.fullmatch(worker) is None:
        log("worker:unreadable", key=key, error="no id for a header")
        return None
    try:
        entry = _Listed.model_validate(orjson.loads(value))
    except (orjson.JSONDecodeError, pydantic.ValidationError) as error:
        log("worker:unreadable", key=key, error=str(error))
        return None
    capacity = entry.capacity
    return worker_port.WorkerEntry(
        incarnations.build_incarnation(worker, entry.born),
        entry.service,
        entry.address,
        entry.zone,
        entry.state != "ready",
        model.Room(int(capacity.cpu), int(capacity.mem_mb), int(capacity.gpu)),
        frozenset(entry.labels),
        entry.remaining_ms / 1000 if entry.remaining_ms is not None else None,
    )
