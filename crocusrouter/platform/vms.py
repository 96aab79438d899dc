"""VMs of the platform, which calls them machines, and their upkeep in waves."""

from typing import Any
import urllib.parse

import orjson
import pydantic

from crocusrouter.platform import calls
from crocusrouter.telemetry import log
from crocusrouter.work import vms
from crocusrouter.work import worker_port

WAVES_PREFIX = "op/wave/"
_STATUS_PREFIX = "status/wave/"
_TIMEOUT_S = 1.5
_CONNECTIONS = 2
_MAX_PAGES = 100
_OK = 200
_CONFLICT = 409
_BAD_REQUEST = 400
_WHY = {
    "fence": vms.Upkeep.FENCED,
    "busy": vms.Upkeep.BUSY,
    "wave": vms.Upkeep.FOREIGN,
}


class PlatformVms:
    """Implements `work.vms.VmPort`."""

    def __init__(self, address: str) -> None:
        self._caller = calls.Caller(address, _CONNECTIONS)

    async def list_vms(self) -> tuple[vms.Vm, ...] | worker_port.NoAnswer:
        """Return all VMs, page by page."""
        found: list[vms.Vm] = []
        token = ""
        for _ in range(_MAX_PAGES):
            query = urllib.parse.urlencode({"page_token": token})
            target = f"/machines?{query}" if token else "/machines"
            result = await self._caller.call("GET", target, None, _TIMEOUT_S)
            if isinstance(result, calls.Unanswered):
                return worker_port.NoAnswer(result.cause, result.maybe_done)
            if result.status != _OK:
                return worker_port.NoAnswer(f"status {result.status}")
            found += map(_parse_vm, result.document.get("machines", ()))
            token = result.document.get("next_token") or ""
            if not token:
                return tuple(found)
        return worker_port.NoAnswer("the list of VMs has no end")

    async def begin_upkeep(
        self, holder: str, epoch: int, vm: str, wave: int
    ) -> vms.Upkeep | worker_port.NoAnswer:
        """Take a VM down for its upkeep."""
        result = await self._caller.call(
            "POST",
            "/machine-upkeep",
            {"machine": vm, "wave": wave},
            _TIMEOUT_S,
            {"X-Lease-Holder": holder, "X-Fencing-Token": str(epoch)},
        )
        if isinstance(result, calls.Unanswered):
            return worker_port.NoAnswer(result.cause, result.maybe_done)
        if result.status == _OK:
            return vms.Upkeep.DONE
        if result.status == _BAD_REQUEST:
            return vms.Upkeep.FOREIGN
        why = _WHY.get(str(result.document.get("reason", "")))
        if result.status == _CONFLICT and why is not None:
            return why
        return worker_port.NoAnswer(f"status {result.status}", maybe_done=False)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._caller.aclose()


def _parse_vm(row: dict[str, Any]) -> vms.Vm:
    return vms.Vm(
        str(row["machine"]),
        str(row.get("pool", "")),
        vms.VmState(row.get("state", vms.VmState.DOWN)),
        str(row.get("id") or ""),
    )


class _Wave(pydantic.BaseModel):
    wave: int
    machines: list[str]
    within_s: float = 0.0
    # How many machines may be down at once.
    max_count: int = pydantic.Field(1, ge=1)


def parse_wave(key: str, value: bytes) -> vms.Wave | None:
    """Decode a wave that operators ask for; None if it isn't one."""
    try:
        wave = _Wave.model_validate_json(value)
    except pydantic.ValidationError as error:
        log("wave:unreadable", key=key, error=str(error))
        return None
    return vms.Wave(
        wave.wave, frozenset(wave.machines), wave.within_s, wave.max_count
    )


def build_wave_status(wave: int, is_over: bool) -> tuple[str, bytes]:
    """Return the key and the body by which operators are told of a wave."""
    state = "completed" if is_over else "running"
    body = orjson.dumps({"wave": wave, "state": state})
    return f"{_STATUS_PREFIX}{wave}", body
