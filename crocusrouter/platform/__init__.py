"""Adapters to the users' platform: names, formats and HTTP calls.

They translate only; decisions are made elsewhere.
"""

from crocusrouter.platform.calls import HttpClient
from crocusrouter.platform.configuration import CONFIG_KEY
from crocusrouter.platform.configuration import CONFIG_PREFIX
from crocusrouter.platform.configuration import WrongConfigError
from crocusrouter.platform.configuration import find_closed_data_centre
from crocusrouter.platform.configuration import parse_config
from crocusrouter.platform.kv import PlatformStore
from crocusrouter.platform.policy import PlatformPolicy
from crocusrouter.platform.submissions import DEADLINE_HEADER
from crocusrouter.platform.submissions import is_job_id
from crocusrouter.platform.submissions import parse_patience
from crocusrouter.platform.submissions import parse_submission
from crocusrouter.platform.submissions import render_job_state
from crocusrouter.platform.submissions import render_pending_count
from crocusrouter.platform.vms import WAVES_PREFIX
from crocusrouter.platform.vms import PlatformVms
from crocusrouter.platform.vms import build_wave_status
from crocusrouter.platform.vms import parse_wave
from crocusrouter.platform.workers import WORKERS_PREFIX
from crocusrouter.platform.workers import PlatformWorkerConnection
from crocusrouter.platform.workers import parse_worker_entry

__all__ = [
    "CONFIG_KEY",
    "CONFIG_PREFIX",
    "DEADLINE_HEADER",
    "WAVES_PREFIX",
    "WORKERS_PREFIX",
    "HttpClient",
    "PlatformPolicy",
    "PlatformStore",
    "PlatformVms",
    "PlatformWorkerConnection",
    "WrongConfigError",
    "build_wave_status",
    "find_closed_data_centre",
    "is_job_id",
    "parse_config",
    "parse_patience",
    "parse_submission",
    "parse_wave",
    "parse_worker_entry",
    "render_pending_count",
    "render_job_state",
]
