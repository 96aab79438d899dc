"""The `entry` command: runs one entry on the users' platform."""

import sys
from typing import Annotated

import typer

from crocusrouter.cli import exit_codes


def add_entry(app: typer.Typer) -> None:
    """Add the `entry` command."""
    app.command("entry")(run_entry)


def run_entry(
    name: Annotated[
        str | None, typer.Option(help="Unique name of this entry.")
    ] = None,
    check: Annotated[
        bool, typer.Option("--check", help="Only check the settings.")
    ] = False,
) -> None:
    """Run one entry on the users' platform.

    Settings come from the file named by CROCUSROUTER_CONFIG and from
    CROCUSROUTER_* variables, which take precedence. All are checked before a
    port is opened.

    Example: CROCUSROUTER_CONFIG=/etc/crocusrouter/boot.toml crocusrouter entry
    """
    import trio

    from crocusrouter import settings
    from crocusrouter.cli import entry_service

    given_flags = {"name": name} if name is not None else {}
    try:
        entry_settings = settings.load_entry_settings(given_flags)
    except settings.WrongSettingsError as error:
        print(f"wrong settings:\n{error}", file=sys.stderr)
        raise typer.Exit(exit_codes.ExitCode.WRONG_USAGE) from error
    if not check:
        trio.run(entry_service.serve, entry_settings)
