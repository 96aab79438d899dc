"""Handlers: apply the messages of workers to a data centre's state."""

import functools

from crocusrouter.fleet import messages
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs.effects import Effects
from crocusrouter.jobs.scheduler_state import SchedulerState

_RETRY_DELAY_AFTER_DECLINE_S = 0.5
_HOLDING_PHASES = (messages.TaskPhase.RESERVED, messages.TaskPhase.RUNNING)


def handle_message(
    scheduler_state: SchedulerState,
    worker_name: str,
    message: object,
    now: float,
) -> Effects:
    """Apply a worker's message; ignore messages of unknown workers.

    Args:
        scheduler_state: The state of the worker's data centre.
        worker_name: The worker that sent the message.
        message: One of `crocusrouter.fleet.messages`.
        now: Unix time in seconds.

    Returns:
        The effects of the message.

    Raises:
        TypeError: No worker sends such a message.
    """
    effects = Effects()
    if worker_name in scheduler_state.workers:
        _handle(message, scheduler_state, worker_name, now, effects)
    return effects


@functools.singledispatch
def _handle(
    message: object,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    raise TypeError(f"unexpected {type(message).__name__} from {worker_name}")


@_handle.register
def _(
    message: messages.Inventory,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    reported_tasks = {
        (task.job_id, task.attempt): task for task in message.tasks
    }
    worker = scheduler_state.workers[worker_name]
    worker.inventory_known = True
    worker.stray_masks = {}
    scheduler_state.invalidate_snapshot()
    for key, task in reported_tasks.items():
        if not _is_expected(scheduler_state, key, worker_name):
            _remove_stray_task(scheduler_state, worker_name, task, effects)
    for gang in scheduler_state.list_gangs_on(worker_name):
        reported_task = reported_tasks.get((gang.job_id, gang.attempt))
        scheduler_state.apply(
            _reconcile(gang, worker_name, reported_task), now, effects
        )


@_handle.register
def _(
    message: messages.Reserved,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    gang = scheduler_state.find_gang(message.job_id, message.attempt)
    if gang is None:
        effects.commands.append(_build_stop(worker_name, message))
    else:
        scheduler_state.apply(
            gangs.record_reserved(gang, worker_name), now, effects
        )


@_handle.register
def _(
    message: messages.Started,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    gang = scheduler_state.find_gang(message.job_id, message.attempt)
    if gang is None:
        effects.commands.append(_build_stop(worker_name, message))
    else:
        scheduler_state.apply(
            gangs.record_started(gang, worker_name), now, effects
        )


@_handle.register
def _(
    message: messages.Declined,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    gang = scheduler_state.find_gang(message.job_id, message.attempt)
    if gang is None:
        return
    scheduler_state.earliest_retry_at[gang.job_id] = (
        now + _RETRY_DELAY_AFTER_DECLINE_S
    )
    transition = gangs.record_released(
        gang, worker_name, gangs.EndReason.DECLINED, message.reason
    )
    scheduler_state.apply(transition, now, effects)


@_handle.register
def _(
    message: messages.Stopped,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    key = (message.job_id, message.attempt)
    if (
        scheduler_state.workers[worker_name].stray_masks.pop(key, None)
        is not None
    ):
        scheduler_state.invalidate_snapshot()
    gang = scheduler_state.find_gang(*key)
    if gang is not None and worker_name in gang.holding_workers:
        transition = gangs.record_released(
            gang,
            worker_name,
            gangs.EndReason.LOST,
            "the worker stopped its task",
        )
        scheduler_state.apply(transition, now, effects)


@_handle.register
def _(
    message: messages.Finished,
    scheduler_state: SchedulerState,
    worker_name: str,
    now: float,
    effects: Effects,
) -> None:
    gang = scheduler_state.find_gang(message.job_id, message.attempt)
    if gang is None or worker_name not in gang.workers:
        # A late result of an attempt that no longer counts. Without an
        # acknowledgement the worker would keep the result for ever.
        effects.commands.append(_build_acknowledge(worker_name, message))
        return
    transition = gangs.record_finished(
        gang, worker_name, message.ok, message.result
    )
    scheduler_state.apply(transition, now, effects)


def _is_expected(
    scheduler_state: SchedulerState, key: tuple[str, int], worker_name: str
) -> bool:
    """Tell whether a gang accounts for a worker's task."""
    gang = scheduler_state.find_gang(*key)
    if gang is None:
        return False
    has_result = any(name == worker_name for name, _ in gang.results)
    return worker_name in gang.holding_workers or has_result


def _remove_stray_task(
    scheduler_state: SchedulerState,
    worker_name: str,
    task: messages.TaskReport,
    effects: Effects,
) -> None:
    """Stop or acknowledge a task that belongs to no gang.

    Its accelerators count as used until the worker reports that it stopped.
    """
    if task.phase in _HOLDING_PHASES:
        scheduler_state.workers[worker_name].stray_masks[
            (task.job_id, task.attempt)
        ] = task.mask
        effects.commands.append(_build_stop(worker_name, task))
    else:
        effects.commands.append(_build_acknowledge(worker_name, task))


def _reconcile(
    gang: gangs.Gang, worker_name: str, task: messages.TaskReport | None
) -> gangs.Transition:
    """Bring a gang in line with the task that a worker reports, if any."""
    if task is None:
        return gangs.record_released(
            gang,
            worker_name,
            gangs.EndReason.LOST,
            f"{worker_name} doesn't hold the task",
        )
    if task.phase is messages.TaskPhase.RESERVED:
        if gang.phase is gangs.Phase.STARTING:
            # The start message was lost with the connection.
            return gang, (gangs.Command(worker_name, gangs.build_start(gang)),)
        return gangs.record_reserved(gang, worker_name)
    if task.phase is messages.TaskPhase.RUNNING:
        return gangs.record_started(gang, worker_name)
    ok = task.phase is messages.TaskPhase.SUCCEEDED
    return gangs.record_finished(gang, worker_name, ok, task.result or "")


def _build_stop(
    worker_name: str,
    task: messages.Reserved | messages.Started | messages.TaskReport,
) -> gangs.Command:
    """Build the command that stops a task whose attempt no longer counts."""
    return gangs.Command(
        worker_name, messages.Stop(task.job_id, task.attempt, checkpoint=False)
    )


def _build_acknowledge(
    worker_name: str, task: messages.Finished | messages.TaskReport
) -> gangs.Command:
    return gangs.Command(
        worker_name, messages.Acknowledge(task.job_id, task.attempt)
    )
