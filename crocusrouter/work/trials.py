"""Where a task starts that may have crashed its last worker.

It gets a worker on which nothing else has just begun, and that takes nothing
else until the trial is over: whatever happens there tells of this task alone.
The emptiest such worker is taken, since a crash ends all that runs there.
"""

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs

# Under load there may be no quiet worker for long; an innocent task would
# wait for one while others pass it by.
_PATIENCE_S = 4.0
# Where many workers crash by themselves at once, each with something that has
# just begun, trials for all of that would close the whole pool.
_MOST_CLOSED_SHARE = 0.25


def list_closed(pool_state: pool_states.Book, now: float) -> set[str]:
    """Return the workers that a suspect has to itself now."""
    return {
        name
        for name, held in pool_state.workers.items()
        if now < held.trial_until
    }


def choose_trial(
    pool_state: pool_states.Book,
    work: runs.StepWork,
    spaces: list[packing.Space],
    closed: set[str],
    now: float,
) -> dict[int, packing.Space] | None:
    """Return where to try a suspected step.

    Args:
        pool_state: State of the pool; not changed.
        work: The step. One task of it at a time is tried; a gang whole.
        spaces: Workers with room for a task.
        closed: Workers that other suspects have to themselves.
        now: Steady time in seconds.

    Returns:
        Space by index of the task; None if it has to wait.
    """
    if any(_is_on_trial(run, now) for run in work.running.values()):
        return None
    quiet = [space for space in spaces if _is_quiet(pool_state, space, now)]
    if not quiet and _has_waited(work, now):
        quiet = [
            space for space in spaces if not _is_touched(pool_state, space)
        ]
    quiet.sort(key=lambda space: pool_state.workers[space.worker].used.cores)
    if work.step.gang:
        trial = _spread_gang(work, quiet)
    elif quiet:
        trial = {_choose_index(work): quiet[0]}
    else:
        trial = None
    if trial is None or _closes_too_many(pool_state, trial, closed):
        return None
    return trial


def may_pass(work: runs.StepWork, now: float) -> bool:
    """Tell whether a suspected step may start without a trial.

    After one crash it is innocent more often than not, and must not wait for
    a trial for long; but one under way is waited for.
    """
    if any(len(found) > 1 for found in work.kept.crashes.values()):
        return False
    if any(_is_on_trial(run, now) for run in work.running.values()):
        return False
    return _has_waited(work, now)


def _closes_too_many(
    pool_state: pool_states.Book,
    trial: dict[int, packing.Space],
    closed: set[str],
) -> bool:
    """Tell whether too few workers would be left to others.

    A gang larger than that is tried while no other trial is under way.
    """
    wanted = {space.worker for space in trial.values()}
    usable = sum(held.listed for held in pool_state.workers.values())
    most = _MOST_CLOSED_SHARE * usable
    return bool(closed) and len(closed | wanted) > most


def _is_on_trial(run: runs.Run, now: float) -> bool:
    return now - run.since < runs.TRIAL_S


def _is_quiet(
    pool_state: pool_states.Book, space: packing.Space, now: float
) -> bool:
    """Tell whether nothing has just begun on a worker, or does in this plan."""
    if _is_touched(pool_state, space):
        return False
    here = pool_state.workers[space.worker].runs.values()
    return not any(_is_on_trial(run, now) for run in here)


def _is_touched(pool_state: pool_states.Book, space: packing.Space) -> bool:
    return space.free != pool_state.workers[space.worker].free


def _has_waited(work: runs.StepWork, now: float) -> bool:
    since = work.waiting_since
    return since is not None and now - since >= _PATIENCE_S


def _choose_index(work: runs.StepWork) -> int:
    """Return the task with the most crashes: one more tells most of it."""
    return max(
        work.waiting,
        key=lambda index: (len(work.kept.crashes.get(index, ())), -index),
    )


def _spread_gang(
    work: runs.StepWork, quiet: list[packing.Space]
) -> dict[int, packing.Space] | None:
    """Return places for all members, in one rack if one has them."""
    racks = list(packing.group_by_rack(quiet).values())
    for spaces in [*racks, quiet]:
        places = _list_places(work.step, spaces)
        if len(places) >= work.step.count:
            return dict(zip(sorted(work.waiting), places, strict=False))
    return None


def _list_places(
    step: model.Step, spaces: list[packing.Space]
) -> list[packing.Space]:
    """Return each space as often as it has room for a member."""
    bound = step.per_worker or step.count
    places: list[packing.Space] = []
    for space in spaces:
        places += [space] * min(bound, space.free.count(step.charge))
    return places
