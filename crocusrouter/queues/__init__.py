"""Queues, to which customers submit jobs, with their keys and policies."""

from crocusrouter.queues.model import Config
from crocusrouter.queues.model import Customer
from crocusrouter.queues.model import Limits
from crocusrouter.queues.model import Queue
from crocusrouter.queues.model import Service
from crocusrouter.queues.model import find_customer
from crocusrouter.queues.model import find_queue
from crocusrouter.queues.model import strip_prefix

__all__ = [
    "Config",
    "Customer",
    "Limits",
    "Queue",
    "Service",
    "find_customer",
    "find_queue",
    "strip_prefix",
]
