"""HTTP face of an entry, for callers and operators."""

from crocusrouter.http.app import build_app
from crocusrouter.http.entry_app import build_entry_app
from crocusrouter.http.server import build_config
from crocusrouter.http.server import serve_http

__all__ = ["build_app", "build_config", "build_entry_app", "serve_http"]
