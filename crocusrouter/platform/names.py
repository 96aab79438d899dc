"""Names of tasks and steps on the platform: JOB.OCCURRENCE.STEP[.POSITION]."""

from crocusrouter.work import model


def build_task_name(key: model.TaskKey) -> str:
    """Return a task's name on the platform.

    >>> build_task_name(model.TaskKey("0a", 0, 1, 7))
    '0a.0.1.7'
    """
    return f"{key.job}.{key.occurrence}.{key.step}.{key.position}"


def parse_task_name(name: str) -> model.TaskKey | None:
    """Return the key of a named task, or None for a name of another form.

    >>> parse_task_name("0a.0.1.7").position
    7
    >>> parse_task_name("other") is None
    True
    """
    try:
        job, occurrence, step, position = name.rsplit(".", 3)
        return model.TaskKey(job, int(occurrence), int(step), int(position))
    except ValueError:
        return None


def build_step_name(key: model.StepKey) -> str:
    """Return a step's name on the platform."""
    return f"{key.job}.{key.occurrence}.{key.step}"
