"""Client of the platform's VM service, and codecs of upkeep waves.

The platform calls a VM a machine.
"""

from typing import Any
import urllib.parse

import orjson
import pydantic

from crocusrouter.platform import calls
from crocusrouter.telemetry import log
from crocusrouter.work import vms
from crocusrouter.work import worker_port

WAVES_PREFIX = "op/wave/"
_WAVE_STATUS_PREFIX = "status/wave/"
_CALL_TIMEOUT_S = 1.5
_MAX_CONNECTIONS = 2
_MAX_PAGES = 100
_OK = 200
_CONFLICT = 409
_BAD_REQUEST = 400
_UPKEEP_CONFLICTS = {
    "fence": vms.Upkeep.FENCED,
    "busy": vms.Upkeep.BUSY,
    "wave": vms.Upkeep.FOREIGN,
}


class PlatformVms:
    """Implements `work.vms.VmPort`."""

    def __init__(self, address: str) -> None:
        self._client = calls.HttpClient(address, _MAX_CONNECTIONS)

    async def list_vms(self) -> tuple[vms.Vm, ...] | worker_port.NoAnswer:
        """Return the VMs of all pages."""
        listed_vms: list[vms.Vm] = []
        page_token = ""
        for _ in range(_MAX_PAGES):
            query = urllib.parse.urlencode({"page_token": page_token})
            target = f"/machines?{query}" if page_token else "/machines"
            result = await self._client.call(
                "GET", target, None, _CALL_TIMEOUT_S
            )
            if isinstance(result, calls.NoResponse):
                return worker_port.NoAnswer(result.cause, result.maybe_done)
            if result.status != _OK:
                return worker_port.NoAnswer(f"status {result.status}")
            listed_vms += map(_parse_vm, result.document.get("machines", ()))
            page_token = result.document.get("next_token") or ""
            if not page_token:
                return tuple(listed_vms)
        return worker_port.NoAnswer("the list of VMs has too many pages")

    async def begin_upkeep(
        self, holder: str, epoch: int, vm: str, wave: int
    ) -> vms.Upkeep | worker_port.NoAnswer:
        """Ask the platform to take a VM down for upkeep."""
        result = await self._client.call(
            "POST",
            "/machine-upkeep",
            {"machine": vm, "wave": wave},
            _CALL_TIMEOUT_S,
            {"X-Lease-Holder": holder, "X-Fencing-Token": str(epoch)},
        )
        if isinstance(result, calls.NoResponse):
            return worker_port.NoAnswer(result.cause, result.maybe_done)
        if result.status == _OK:
            return vms.Upkeep.DONE
        if result.status == _BAD_REQUEST:
            return vms.Upkeep.FOREIGN
        conflict = _UPKEEP_CONFLICTS.get(str(result.document.get("reason", "")))
        if result.status == _CONFLICT and conflict is not None:
            return conflict
        return worker_port.NoAnswer(f"status {result.status}", maybe_done=False)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()


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
    # Maximum number of VMs that are down at once.
    max_count: int = pydantic.Field(1, ge=1)


def parse_wave(key: str, value: bytes) -> vms.Wave | None:
    """Decode a wave requested by operators, or return None if it is invalid."""
    try:
        wave = _Wave.model_validate_json(value)
    except pydantic.ValidationError as error:
        log("wave:unreadable", key=key, error=str(error))
        return None
    return vms.Wave(
        wave.wave, frozenset(wave.machines), wave.within_s, wave.max_count
    )


def build_wave_status(wave: int, is_completed: bool) -> tuple[str, bytes]:
    """Return key and value of the record that reports a wave's state."""
    state = "completed" if is_completed else "running"
    body = orjson.dumps({"wave": wave, "state": state})
    return f"{_WAVE_STATUS_PREFIX}{wave}", body
