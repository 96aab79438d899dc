import io

import orjson
import pytest

from crocusrouter import telemetry
from crocusrouter import work


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (work.TaskKey("0a", 0, 1, 2), "0a.0.1.2"),
        (work.StepKey("0a", 0, 1), "0a.0.1"),
        ({"r1"}, ["r1"]),
        (5, 5),
    ],
)
def test_values_are_rendered_in_log_lines(value, expected):
    """Regression: log lines showed keys of tasks by their Python `repr`."""
    stream = io.StringIO()
    telemetry.open_log("e1", stream)
    telemetry.log("test:value", value=value)
    # Eliot buffers messages of earlier tests until a destination is added.
    lines = map(orjson.loads, stream.getvalue().splitlines())
    [line] = [
        line for line in lines if line.get("message_type") == "test:value"
    ]
    assert line["value"] == expected
    assert line["entry"] == "e1"
