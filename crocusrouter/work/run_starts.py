"""Start of the measurement of a run's rate."""

from crocusrouter.work import run_rates
from crocusrouter.work import speed_fit
from crocusrouter.work import tracking


def begin_rate(
    run: tracking.Run,
    percent: float,
    tracked_step: tracking.TrackedStep,
    rates: speed_fit.StepRates,
    members: list[tracking.Run],
    now: float,
) -> run_rates.RunRate | None:
    """Begin to measure a run; None while its gang has not begun to work.

    The work of a run may have begun earlier than known if it was confirmed by
    this very report, as after a takeover, or if it has had another pace. Such
    runs, and those that resume from a checkpoint, are measured from now on.

    Args:
        run: The run.
        percent: Its progress, from 0 to 100.
        tracked_step: Its step.
        rates: Measurements of the step's runs; ended ones may be removed.
        members: All runs of the step.
        now: Steady time in seconds.
    """
    _drop_ended(rates, members)
    step = tracked_step.step
    assert run.confirmed_at is not None
    # `measured_since` is set on adoption, so the start stays unknown if the
    # step has not been observed for a while.
    is_start_unknown = (
        run.confirmed_at >= now or run.paced_at > 0 or run.measured_since > 0
    )
    rates.is_start_unknown |= is_start_unknown
    if not step.gang:
        begins_at = run.confirmed_at
    else:
        is_start_unknown = rates.is_start_unknown
        if rates.begins_at is None:
            rates.begins_at = _find_gang_begin(run, step.count, members)
        if rates.begins_at is None:
            return None
        begins_at = rates.begins_at
    if is_start_unknown or tracked_step.find_checkpoint(run.key.position):
        return run_rates.RunRate(now, percent, starts_at_zero=False)
    return run_rates.RunRate(begins_at)


def _find_gang_begin(
    run: tracking.Run, count: int, members: list[tracking.Run]
) -> float | None:
    """Return when the last member was confirmed; None if one is missing."""
    times = [
        member.confirmed_at
        for member in members
        if member.number == run.number and member.confirmed_at is not None
    ]
    return max(times) if len(times) >= count else None


def _drop_ended(
    rates: speed_fit.StepRates, members: list[tracking.Run]
) -> None:
    """Remove the measurements of ended runs once they are many."""
    if len(rates.rates) > 2 * len(members) + 16:
        active = {(member.key, member.number) for member in members}
        for key in rates.rates.keys() - active:
            del rates.rates[key]
