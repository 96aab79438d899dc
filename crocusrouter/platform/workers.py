"""Workers over the platform's HTTP interface, and as the platform lists them.

The platform calls a worker a runner and lists it under `servers/`.
"""

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
_HOLD_GRACE_S = 0.6
_OK = 200
_OTHER_INCARNATION = 421
_CONFLICT = 409
_UNHEALTHY = (429, 503)
_WHY = {
    "fence": worker_port.RejectionReason.FENCED,
    "old": worker_port.RejectionReason.OLD,
    "late": worker_port.RejectionReason.LATE,
    "room": worker_port.RejectionReason.NO_ROOM,
    "ticket": worker_port.RejectionReason.NO_TICKET,
}
# "IP:port"; a call to anything else fails in ways that name no worker.
_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_HOW = {how.value: how for how in worker_port.RunOutcome}


class PlatformConnection:
    """Implements `work.worker_port.Connection`."""

    def __init__(self, incarnation: str, address: str) -> None:
        worker = incarnations.find_worker(incarnation)
        self._headers = {"X-Expect-Instance": worker}
        self._connection = calls.Connection(address)

    @property
    def is_open(self) -> bool:
        """Whether another call may be made; no call was left unanswered."""
        return self._connection.is_open

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Renew the lease, confirm ends, wait for an end."""
        document: dict[str, Any] = {"fencing_token": epoch, "last_seen": seen}
        if until_ms is not None:
            document["until_ms"] = until_ms
        if wait_s > 0:
            document["wait_ms"] = int(wait_s * 1000)
        result = await self._connection.call(
            "POST", "/hold", document, wait_s + _HOLD_GRACE_S, self._headers
        )
        refused = _find_refusal(result)
        if refused is not None:
            return refused
        assert isinstance(result, calls.Answered)
        return _parse_report(result.document)

    async def start(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        timeout_s: float,
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Start a run."""
        document: dict[str, Any] = {
            "task": names.build_task(order.key),
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
            "task": names.build_task(order.key),
            "run_id": order.run,
            "fencing_token": epoch,
        }
        return await self._order("/run-stop", document, timeout_s)

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Set the share of its speed at which a run works."""
        document = {
            "task": names.build_task(order.key),
            "run_id": order.run,
            "percent": order.percent,
            "fencing_token": epoch,
        }
        return await self._order("/pace", document, timeout_s)

    async def aclose(self) -> None:
        """Close it."""
        await self._connection.aclose()

    async def _order(
        self, path: str, document: dict[str, Any], timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        result = await self._connection.call(
            "POST", path, document, timeout_s, self._headers
        )
        refused = _find_refusal(result)
        if refused is not None:
            return refused
        assert isinstance(result, calls.Answered)
        return worker_port.Accepted(int(result.document.get("clock_ms", 0)))


def _find_refusal(
    result: calls.Result,
) -> worker_port.Rejected | worker_port.NoAnswer | None:
    if isinstance(result, calls.Unanswered):
        return worker_port.NoAnswer(result.cause, result.maybe_done)
    clock = result.document.get("clock_ms")
    if result.status == _OK:
        return None
    if result.status == _CONFLICT:
        why = _WHY.get(
            result.document.get("reason", ""),
            worker_port.RejectionReason.INVALID,
        )
        return worker_port.Rejected(why, clock)
    if result.status == _OTHER_INCARNATION:
        return worker_port.Rejected(
            worker_port.RejectionReason.OTHER_INCARNATION
        )
    if result.status in _UNHEALTHY:
        return worker_port.Rejected(
            worker_port.RejectionReason.UNHEALTHY, clock
        )
    return worker_port.Rejected(worker_port.RejectionReason.INVALID, clock)


def _parse_report(document: dict[str, Any]) -> worker_port.Report:
    running = map(_parse_running, document.get("running", ()))
    ended = map(_parse_ended, document.get("finished", ()))
    return worker_port.Report(
        int(document["clock_ms"]),
        tuple(row for row in running if row is not None),
        tuple(row for row in ended if row is not None),
        _parse_born(document.get("born")),
    )


def _parse_born(value: object) -> int | None:
    """Return the milliseconds of a worker's start; None if it isn't told."""
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        return None
    return value


def _parse_running(row: list[Any]) -> worker_port.ReportedRun | None:
    key = names.parse_task(row[0])
    if key is None:
        log("worker:foreign-run", row=row)
        return None
    load = float(row[4]) if len(row) > 4 else 0.0
    return worker_port.ReportedRun(
        key, int(row[1]), str(row[2] or ""), float(row[3]), load
    )


def _parse_ended(row: list[Any]) -> worker_port.RunEnd | None:
    key = names.parse_task(row[1])
    if key is None:
        log("worker:foreign-end", row=row)
        return None
    # A word that we don't know is an end that was neither well nor the
    # task's own fault.
    how = _HOW.get(row[3], worker_port.RunOutcome.BROKEN)
    return worker_port.RunEnd(
        int(row[0]), key, int(row[2]), how, str(row[4] or "")
    )


_Amount = Annotated[float, pydantic.Field(ge=0)]


class _Room(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount = 0


class _Listed(pydantic.BaseModel):
    """What a worker always writes of itself, word for word.

    Others write to the list too. Their entries must name no worker: what was
    filled in by a default or converted would be taken for one.
    """

    model_config = pydantic.ConfigDict(strict=True)

    service: str
    address: Annotated[str, pydantic.Field(pattern=_ADDRESS)]
    zone: str = ""
    state: Literal["ready", "draining"]
    capacity: _Room
    labels: list[str]
    # Only while it drains: the least time that is left.
    remaining_ms: float | None = None
    # Unix milliseconds of its start; none where each start has an id of its
    # own.
    born: Annotated[int, pydantic.Field(gt=0)] | None = None


def parse_worker(key: str, value: bytes) -> worker_port.WorkerEntry | None:
    """Decode an entry of the list of workers; None if it names none."""
    try:
        listed = _Listed.model_validate(orjson.loads(value))
    except (orjson.JSONDecodeError, pydantic.ValidationError) as error:
        log("worker:unreadable", key=key, error=str(error))
        return None
    room = listed.capacity
    worker = key.removeprefix(WORKERS_PREFIX)
    return worker_port.WorkerEntry(
        incarnations.build_incarnation(worker, listed.born),
        listed.service,
        listed.address,
        listed.zone,
        listed.state != "ready",
        model.Room(int(room.cpu), int(room.mem_mb), int(room.gpu)),
        frozenset(listed.labels),
        listed.remaining_ms / 1000 if listed.remaining_ms is not None else None,
    )
