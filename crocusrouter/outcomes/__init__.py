"""Answers to requests, refusals, and the reasons of refusals and retries."""

from crocusrouter.outcomes.answers import Answer
from crocusrouter.outcomes.answers import Done
from crocusrouter.outcomes.answers import NotRun
from crocusrouter.outcomes.answers import Rendered
from crocusrouter.outcomes.answers import Unknown
from crocusrouter.outcomes.answers import render
from crocusrouter.outcomes.answers import render_refusal
from crocusrouter.outcomes.reasons import Refusal
from crocusrouter.outcomes.reasons import RefusalReason
from crocusrouter.outcomes.reasons import RefusedError
from crocusrouter.outcomes.reasons import RetryReason
from crocusrouter.outcomes.reasons import refuse

__all__ = [
    "Answer",
    "Done",
    "NotRun",
    "Refusal",
    "RefusalReason",
    "RefusedError",
    "Rendered",
    "RetryReason",
    "Unknown",
    "refuse",
    "render",
    "render_refusal",
]
