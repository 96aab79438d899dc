"""Output for people (tables) and for programs (JSON)."""

from collections.abc import Sequence
import sys
import time
from typing import Any
from typing import NoReturn

import orjson
import typer

from crocusrouter.cli import client
from crocusrouter.cli import exits


def show_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows under column names, aligned.

    >>> show_table(["id", "state"], [["a", "done"]])
    ID  STATE
    a   done
    """
    cells = [[name.upper() for name in columns]]
    cells += [[str(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (c.ljust(w) for c, w in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def show_fields(document: dict[str, Any]) -> None:
    """Print a document as "name  value" lines.

    >>> show_fields({"id": "a", "state": "done"})
    id     a
    state  done
    """
    width = max(map(len, document), default=0)
    for name, value in document.items():
        print(f"{name.ljust(width)}  {value}")


def show_json(document: Any) -> None:
    """Print a document as one line of JSON."""
    print(orjson.dumps(document).decode())


def show_time(at: float) -> str:
    """Return a Unix time as UTC text.

    >>> show_time(0.0)
    '1970-01-01 00:00:00'
    """
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at))


def fetch(
    asked: client.Client,
    method: str,
    path: str,
    as_json: bool,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> client.Reply:
    """Ask an entry; leave with the fitting exit code if it refuses."""
    reply = asked.ask(method, path, body, headers)
    check_reply(reply, as_json)
    return reply


def check_reply(reply: client.Reply, as_json: bool) -> None:
    """Leave with the fitting exit code if the entry refused."""
    if not reply.is_refusal:
        return
    problem = reply.document if isinstance(reply.document, dict) else {}
    if as_json:
        show_json(problem)
    title = problem.get("title", f"status {reply.status}")
    detail = f": {problem['detail']}" if problem.get("detail") else ""
    remedy = problem.get("remedy", "")
    print(f"refused: {title}{detail}. {remedy}".strip(), file=sys.stderr)
    raise typer.Exit(exits.choose_exit(reply.status))


def fail(message: str, code: exits.Exit) -> NoReturn:
    """Print a message and leave."""
    print(message, file=sys.stderr)
    raise typer.Exit(code)
