"""The `serve` command, its flags made from the settings."""

import inspect
import sys
from typing import Annotated
from typing import Any

import pydantic_core
import typer

from crocusrouter.cli import exits
from crocusrouter.cli import output

HELP = """Run one entry.

Each flag is also an environment variable: --store-url is
CROCUSROUTER_STORE_URL; the flag goes first. All settings are checked before
a port is opened.

Example: crocusrouter serve --name e1 --data-centre liege
--listen 127.0.0.1:8080 --mesh-listen 127.0.0.1:8081
--store-url http://127.0.0.1:9000 --vms-url http://127.0.0.1:9001
"""


def add_serve(app: typer.Typer) -> None:
    """Add the command, with a flag for each setting.

    The flags take text; the settings' own model checks all of them, so that
    a flag and a variable are judged alike. The settings are imported here
    only: the other commands start faster without them.
    """
    from crocusrouter import settings

    parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=Annotated[
                str | None,
                typer.Option(help=_describe(field.description, field.default)),
            ],
        )
        for name, field in settings.Settings.model_fields.items()
    ]

    def serve(**flags: Any) -> None:
        _run(flags)

    # typer reads flags from a function's signature; this one comes from the
    # model, so that no setting can be forgotten on the command line.
    serve.__signature__ = (  # type: ignore[attr-defined]
        inspect.Signature(parameters)
    )
    serve.__annotations__ = {p.name: p.annotation for p in parameters}
    app.command("serve", help=HELP)(serve)


def _describe(description: str | None, default: Any) -> str:
    if default is pydantic_core.PydanticUndefined:
        return f"{description}  [required]"
    return f"{description}  [default: {default}]"


def _run(flags: dict[str, Any]) -> None:
    import trio

    from crocusrouter import settings
    from crocusrouter.cli import service

    given = {name: value for name, value in flags.items() if value is not None}
    try:
        loaded = settings.load_settings(given)
    except settings.WrongSettingsError as error:
        print(f"wrong settings:\n{error}", file=sys.stderr)
        raise typer.Exit(exits.Exit.WRONG_USAGE) from error
    cause: object = None
    try:
        trio.run(service.serve, loaded)
    except* OSError as errors:
        cause = errors.exceptions[0]
    if cause is not None:
        output.fail(
            f"can't listen on {loaded.listen} or {loaded.mesh_listen}: "
            f"{cause}. Set --listen and --mesh-listen to free ports.",
            exits.Exit.FAILED,
        )
