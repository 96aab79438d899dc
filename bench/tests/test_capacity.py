from bench import capacity
from bench import figures


def test_page_matches_the_committed_results():
    built = capacity.build_page(figures.read_figures())
    assert capacity.PAGE.read_text() == built, "run: python -m bench.capacity"
