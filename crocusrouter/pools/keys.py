"""Keys of the pools' persistent records in the key-value service."""

ROOT = "crocusrouter/"
# Every entry watches this prefix: members and owners.
SYSTEM = f"{ROOT}sys/"
SECRET = f"{ROOT}secret"
JOBS = f"{ROOT}job/"
PROGRESS = f"{ROOT}progress/"
MEMBERS = f"{SYSTEM}entry/"
OWNERS = f"{SYSTEM}owner/"
KNOWN_WORKERS = f"{ROOT}workers/"
PARKED = f"{ROOT}parked/"
SPEEDS = f"{ROOT}speeds/"
ATTESTERS = f"{ROOT}attesters/"
WAVES = f"{ROOT}wave/"


def build_job_key(job_id: str) -> str:
    """Return the key of an accepted job.

    The record names the pool, not the key: a queue may move to another pool,
    and a job accepted before the move must still be found.

    >>> build_job_key("0a")
    'crocusrouter/job/0a'
    """
    return f"{JOBS}{job_id}"


def build_progress_key(job_id: str) -> str:
    """Return the key of a job's progress record."""
    return f"{PROGRESS}{job_id}"


def build_wave_key(wave: int) -> str:
    """Return the key of the progress record of a wave of upkeep."""
    return f"{WAVES}{wave}"


def build_owner_key(pool: str) -> str:
    """Return the key that names a pool's owner."""
    return f"{OWNERS}{pool}"


def build_member_key(entry: str) -> str:
    """Return the key that holds an entry's mesh address."""
    return f"{MEMBERS}{entry}"
