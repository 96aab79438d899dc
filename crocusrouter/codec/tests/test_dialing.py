"""Tests of connections that are reopened."""

import pytest
import trio

from crocusrouter import codec


# Guards against a process that ends with an error because an address that it
# was told can't be one: a port out of range, an open bracket, an empty label.
@pytest.mark.parametrize(
    "address", ["10.0.0.9:99999", "[::1:7000", "a..b:7000", f"{'a' * 64}:7000"]
)
async def test_impossible_address_is_tried_again_after_pauses(
    address, autojump_clock
):
    tried_at = []

    async def serve():
        tried_at.append(trio.current_time())
        async with codec.dial(f"ws://{address}/mesh", 1024):
            pass

    with trio.move_on_after(5.0):
        await codec.keep_connected(serve)
    pauses = [
        later - earlier
        for earlier, later in zip(tried_at, tried_at[1:], strict=False)
    ]
    assert pauses == pytest.approx([0.2, 0.4, 0.8, 1.0, 1.0, 1.0])


# Guards against catching the errors of other faults with that of an address.
async def test_other_error_of_a_connection_is_not_caught():
    async def serve():
        raise KeyError("field")

    with pytest.raises(KeyError):
        await codec.keep_connected(serve)
