"""HTTP interface of an entry, for callers and operators.

`app` builds the application of `crocusrouter serve`, `entry_app` that of
`crocusrouter entry`. Each command imports only its own application, which
keeps its start fast.
"""

from crocusrouter.http.server import build_server_config
from crocusrouter.http.server import serve_http

__all__ = ["build_server_config", "serve_http"]
