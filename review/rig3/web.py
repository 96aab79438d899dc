"""A small HTTP/1.1 server and client over asyncio."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import socket
import struct
from typing import Any
import urllib.parse

# SO_LINGER with a timeout of 0: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Request:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> dict[str, Any]:
        """The JSON body; empty without one."""
        return json.loads(self.body) if self.body else {}


class NoAnswerError(Exception):
    """The request gets no answer; its connection stays open."""


Answer = tuple[int, dict[str, Any]]
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    rows = (line.partition(":") for line in lines if line)
    return first_line, {
        name.strip().lower(): value.strip() for name, _, value in rows
    }


class Server:
    """Serves a handler on one loopback port."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        """Prepare; `start` listens. Port 0 takes a free one."""
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections, as a dead process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            if connection is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await _read_head(reader)
        if head is None:
            return False
        first_line, headers = head
        method, target, _ = first_line.split(" ", 2)
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        try:
            status, document = await self._handler(
                Request(method, path, query, headers, body)
            )
        except NoAnswerError:
            await reader.read()
            return False
        payload = json.dumps(document).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n".encode()
            + payload
        )
        await writer.drain()
        return True


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    document: dict[str, Any] | None = None,
    timeout_s: float = 3.0,
) -> Answer | None:
    """Make one call on a new connection; None without a complete answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                return await _exchange(
                    reader, writer, method, path, headers, document
                )
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    document: dict[str, Any] | None,
) -> Answer | None:
    payload = json.dumps(document).encode() if document is not None else b""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [
        "Content-Type: application/json",
        f"Content-Length: {len(payload)}",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
    await writer.drain()
    head = await _read_head(reader)
    if head is None:
        return None
    first_line, answer_headers = head
    length = int(answer_headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    try:
        answer = json.loads(body) if body else {}
    except json.JSONDecodeError:
        answer = {}
    return int(first_line.split(" ")[1]), answer
