"""Prints replies and errors: tables for people, JSON for programs."""

from collections.abc import Sequence
import sys
import time
from typing import Any
from typing import NoReturn

import orjson
import typer

from crocusrouter.cli import client
from crocusrouter.cli import exit_codes


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as an aligned table under column names.

    >>> print_table(["id", "state"], [["a", "done"]])
    ID  STATE
    a   done
    """
    cells = [[name.upper() for name in columns]]
    cells += [[str(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("  ".join(padded).rstrip())


def print_fields(document: dict[str, Any]) -> None:
    """Print a document as "name  value" lines.

    >>> print_fields({"id": "a", "state": "done"})
    id     a
    state  done
    """
    width = max(map(len, document), default=0)
    for name, value in document.items():
        print(f"{name.ljust(width)}  {value}")


def print_json(document: Any) -> None:
    """Print a document as one line of JSON."""
    print(orjson.dumps(document).decode())


def format_time(at: float) -> str:
    """Format a Unix time as UTC text.

    >>> format_time(0.0)
    '1970-01-01 00:00:00'
    """
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at))


def send_or_exit(
    api_client: client.Client,
    method: str,
    path: str,
    as_json: bool,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> client.Reply:
    """Send a request; exit with the code of the refusal if it is refused."""
    reply = api_client.send(method, path, body, headers)
    exit_if_refused(reply, as_json)
    return reply


def exit_if_refused(reply: client.Reply, as_json: bool) -> None:
    """Exit with the code of the refusal if the entry refused the request."""
    if not reply.is_refusal:
        return
    problem = reply.document if isinstance(reply.document, dict) else {}
    if as_json:
        print_json(problem)
    title = problem.get("title", f"status {reply.status}")
    detail = f": {problem['detail']}" if problem.get("detail") else ""
    remedy = problem.get("remedy", "")
    print(f"refused: {title}{detail}. {remedy}".strip(), file=sys.stderr)
    raise typer.Exit(exit_codes.choose_exit_code(reply.status))


def exit_with_error(message: str, code: exit_codes.ExitCode) -> NoReturn:
    """Print a message to stderr and exit."""
    print(message, file=sys.stderr)
    raise typer.Exit(code)
