import io

import orjson
import pytest

from crocusrouter import telemetry
from crocusrouter import work


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        (work.TaskKey("0a", 0, 1, 2), "0a.0.1.2"),
        (work.StepKey("0a", 0, 1), "0a.0.1"),
        ({"r1"}, ["r1"]),
        (5, 5),
    ],
)
def test_values_in_a_line(value, shown):
    """Keys of tasks stood in the lines as the text of a Python call."""
    stream = io.StringIO()
    telemetry.open_log("e1", stream)
    telemetry.log("test:value", value=value)
    # Lines of other tests, kept until somebody listens, come too.
    lines = map(orjson.loads, stream.getvalue().splitlines())
    [line] = [x for x in lines if x["message_type"] == "test:value"]
    assert line["value"] == shown
    assert line["entry"] == "e1"
