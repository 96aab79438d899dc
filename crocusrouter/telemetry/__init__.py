"""Structured logs and metrics of a process."""

from crocusrouter.telemetry.logs import log
from crocusrouter.telemetry.logs import open_log
from crocusrouter.telemetry.metrics import Metrics

__all__ = ["Metrics", "log", "open_log"]
