"""Where the pools keep what must last, in the key-value service."""

ROOT = "crocusrouter/"
# Watched by every entry: members and owners.
SYSTEM = f"{ROOT}sys/"
SECRET = f"{ROOT}secret"
JOBS = f"{ROOT}job/"
PROGRESS = f"{ROOT}progress/"
MEMBERS = f"{SYSTEM}entry/"
OWNERS = f"{SYSTEM}owner/"
KNOWN_WORKERS = f"{ROOT}workers/"
PARKED = f"{ROOT}parked/"
WAVES = f"{ROOT}wave/"


def build_job_key(job_id: str) -> str:
    """Return where an accepted job is kept.

    The pool stands in the record and not in the key: a queue may move to
    another pool, and a job accepted before that must still be found.

    >>> build_job_key("0a")
    'crocusrouter/job/0a'
    """
    return f"{JOBS}{job_id}"


def build_progress_key(job_id: str) -> str:
    """Return where a job's progress is kept."""
    return f"{PROGRESS}{job_id}"


def build_wave_key(wave: int) -> str:
    """Return where it is kept how far a wave of upkeep is."""
    return f"{WAVES}{wave}"


def build_owner_key(pool: str) -> str:
    """Return where a pool's owner is named."""
    return f"{OWNERS}{pool}"


def build_member_key(entry: str) -> str:
    """Return where an entry's mesh address is kept."""
    return f"{MEMBERS}{entry}"
