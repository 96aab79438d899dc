"""The `serve` command, with one flag for each field of the settings."""

import inspect
import sys
from typing import Annotated
from typing import Any

import pydantic_core
import typer

from crocusrouter.cli import exit_codes
from crocusrouter.cli import output

HELP = """Run one entry.

Each flag is also an environment variable: --store-url is
CROCUSROUTER_STORE_URL; a flag takes precedence. All settings are checked
before a port is opened.

Example: crocusrouter serve --name e1 --data-centre liege
--listen 127.0.0.1:8080 --mesh-listen 127.0.0.1:8081
--store-url http://127.0.0.1:9000 --vms-url http://127.0.0.1:9001
"""


def add_serve(app: typer.Typer) -> None:
    """Add the `serve` command, with a flag for each setting.

    The flags take text, and the settings model checks all of them, so that a
    flag and an environment variable are checked alike. The settings are
    imported only here, because other commands start faster without them.
    """
    from crocusrouter import settings

    parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=Annotated[
                str | None,
                typer.Option(
                    help=_describe_flag(field.description, field.default)
                ),
            ],
        )
        for name, field in settings.ServeSettings.model_fields.items()
    ]

    def serve(**flags: Any) -> None:
        _run_serve(flags)

    # typer derives the flags from a function's signature. This signature is
    # built from the model, so that every setting has a flag.
    serve.__signature__ = (  # type: ignore[attr-defined]
        inspect.Signature(parameters)
    )
    serve.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    app.command("serve", help=HELP)(serve)


def _describe_flag(description: str | None, default: Any) -> str:
    if default is pydantic_core.PydanticUndefined:
        return f"{description}  [required]"
    return f"{description}  [default: {default}]"


def _run_serve(flags: dict[str, Any]) -> None:
    import trio

    from crocusrouter import settings
    from crocusrouter.cli import service

    given_flags = {
        name: value for name, value in flags.items() if value is not None
    }
    try:
        serve_settings = settings.load_serve_settings(given_flags)
    except settings.WrongSettingsError as error:
        print(f"wrong settings:\n{error}", file=sys.stderr)
        raise typer.Exit(exit_codes.ExitCode.WRONG_USAGE) from error
    cause: object = None
    try:
        trio.run(service.serve, serve_settings)
    except* OSError as errors:
        cause = errors.exceptions[0]
    if cause is not None:
        output.exit_with_error(
            f"can't listen on {serve_settings.listen} or "
            f"{serve_settings.mesh_listen}: {cause}. Set --listen and "
            "--mesh-listen to free ports.",
            exit_codes.ExitCode.FAILED,
        )
