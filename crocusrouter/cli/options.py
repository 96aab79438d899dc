"""Command-line options that several commands share."""

from typing import Annotated

import typer

Entry = Annotated[
    str,
    typer.Option(
        envvar="CROCUSROUTER_ENTRY",
        help="URL of an entry or of the balancer.",
    ),
]
Key = Annotated[
    str,
    typer.Option(
        envvar="CROCUSROUTER_KEY",
        help="Bearer key of the customer, or of the operators.",
        show_default=False,
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON for programs.")
]
Timeout = Annotated[
    float, typer.Option(help="Seconds to wait.", min=0.0, max=86400.0)
]

DEFAULT_ENTRY = "http://127.0.0.1:8080"
