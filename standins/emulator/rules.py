"""Names the rules of the platform's pages, which oracles check."""

import enum


class Rule(enum.StrEnum):
    """One rule: its word in the pages, and its subject if it has several."""

    ACKS = "acks"
    AVAIL = "avail"
    BUDGET = "budget"
    CONFIG = "config"
    DRAIN = "drain"
    EVAC = "evac"
    GANG = "gang"
    HARM = "harm"
    LIMIT_ROOMS = "limit-rooms"
    LIMIT_WAVES = "limit-waves"
    LOST_JOBS = "lost-jobs"
    LOST_REQUESTS = "lost-requests"
    LOST_STANDING = "lost-standing"
    MIXED_JOBS = "mixed-jobs"
    MIXED_WAVES = "mixed-waves"
    ONE = "one"
    ORDER = "order"
    RECLAIM = "reclaim"
    RECOVER = "recover"
    REFUSED = "refused"
    ROUTE_CALLS = "route-calls"
    ROUTE_STARTS = "route-starts"
    TWICE = "twice"
    UNASKED = "unasked"
