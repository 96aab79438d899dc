import pytest

from crocusrouter.work import incarnations


@pytest.mark.parametrize("worker", ["i-1", "i@1", "i@", "@5", "i-1@x"])
@pytest.mark.parametrize("born_ms", [1, 1_700_000_000_000])
def test_worker_id_is_found_in_the_name_of_its_incarnation(worker, born_ms):
    name = incarnations.build_incarnation(worker, born_ms)
    assert name != incarnations.build_incarnation(worker, born_ms + 1)
    assert incarnations.find_worker(name) == worker


def test_incarnation_without_a_start_time_is_named_by_its_worker_id():
    name = incarnations.build_incarnation("i-1", None)
    assert name == incarnations.find_worker(name) == "i-1"
