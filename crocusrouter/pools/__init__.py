"""Pools of workers: ownership, scheduling, journal and job calls."""

from crocusrouter.pools.clocks import Clock
from crocusrouter.pools.closures import ClosureSource
from crocusrouter.pools.configuration import ConfigBasis
from crocusrouter.pools.entry import ConfigSource
from crocusrouter.pools.entry import Identity
from crocusrouter.pools.entry import PoolEntry
from crocusrouter.pools.job_api import AcceptOutcome
from crocusrouter.pools.job_api import CancelOutcome
from crocusrouter.pools.job_api import JobApi
from crocusrouter.pools.job_api import StateUnknownError
from crocusrouter.pools.job_api import log_refusal
from crocusrouter.pools.members import load_or_create_secret
from crocusrouter.pools.owner import Platform
from crocusrouter.pools.owner import PoolOwner
from crocusrouter.pools.upkeep_controller import UpkeepPlatform

__all__ = [
    "ConfigBasis",
    "CancelOutcome",
    "Clock",
    "ClosureSource",
    "ConfigSource",
    "JobApi",
    "Identity",
    "Platform",
    "PoolEntry",
    "PoolOwner",
    "StateUnknownError",
    "AcceptOutcome",
    "UpkeepPlatform",
    "load_or_create_secret",
    "log_refusal",
]
