"""HTTP face of an entry, for callers and operators.

`app` and `entry_app` build the two faces; each is imported by the command
that serves it, so that neither costs the other's start.
"""

from crocusrouter.http.server import build_config
from crocusrouter.http.server import serve_http

__all__ = ["build_config", "serve_http"]
