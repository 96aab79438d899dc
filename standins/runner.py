"""Stand-in for runners, which execute small requests."""

import dataclasses
import enum
from typing import Any

import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from standins import serving


class Fault(enum.StrEnum):
    """Faults of a runner."""

    NONE = "none"
    SLOW = "slow"  # answers `delay_s` later
    SILENT = "silent"  # runs the request and never answers
    MISDIRECT = "misdirect"  # answers with another request's id


@dataclasses.dataclass
class Runner:
    """State of one runner: slots, and the requests that it executed."""

    name: str
    slots: int
    busy: int = 0
    fault: Fault = Fault.NONE
    delay_s: float = 0.0
    executions: list[dict[str, Any]] = dataclasses.field(default_factory=list)


class RunnerApp:
    """HTTP interface of a runner."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.app = applications.Starlette(
            routes=[
                routing.Route("/run/{kind}", self.execute, methods=["POST"]),
                routing.Route("/executions", self.show, methods=["GET"]),
                routing.Route("/faults", self.set_fault, methods=["POST"]),
            ]
        )

    async def execute(self, request: requests.Request) -> responses.Response:
        """Execute a request in a slot, or reject it without reading it."""
        if self.runner.busy >= self.runner.slots:
            return responses.Response(
                status_code=503, headers={"Crocusrouter-Outcome": "not-run"}
            )
        self.runner.busy += 1
        try:
            return await self._execute(request)
        finally:
            self.runner.busy -= 1

    async def _execute(self, request: requests.Request) -> responses.Response:
        body = orjson.loads(await request.body())
        request_id = request.headers["Request-Id"]
        fields = body if isinstance(body, dict) else {}
        self.runner.executions.append(
            {"request_id": request_id, "item": fields.get("item")}
        )
        delay_s = float(fields.get("work_s", 0.0))
        if self.runner.fault is Fault.SLOW:
            delay_s += self.runner.delay_s
        await trio.sleep(delay_s)
        if self.runner.fault is Fault.SILENT:
            await trio.sleep_forever()
        if self.runner.fault is Fault.MISDIRECT:
            request_id = "another"
        answer = {"runner": self.runner.name, "item": fields.get("item")}
        return responses.Response(
            orjson.dumps(answer),
            media_type="application/json",
            headers={"Request-Id": request_id},
        )

    async def show(self, _: requests.Request) -> responses.Response:
        """Answer with the requests that were executed."""
        return responses.JSONResponse(self.runner.executions)

    async def set_fault(self, request: requests.Request) -> responses.Response:
        """Set the fault of the runner."""
        body = orjson.loads(await request.body())
        self.runner.fault = Fault(body["fault"])
        self.runner.delay_s = float(body.get("delay_s", 0.0))
        return responses.Response(status_code=204)


async def run(name: str, port: int, slots: int) -> None:
    """Serve one runner on a loopback port."""
    await serving.serve(RunnerApp(Runner(name, slots)).app, port)
