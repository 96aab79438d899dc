import pytest

from crocusrouter import outcomes
from crocusrouter.outcomes import reasons


@pytest.mark.parametrize("reason", list(outcomes.RefusalReason))
def test_every_reason_has_status_title_and_remedy(reason):
    refusal = outcomes.Refusal(reason, "detail", 1.5)
    assert 400 <= refusal.status < 600
    assert refusal.title
    assert refusal.remedy.endswith((".", "list"))
    assert "detail" in str(refusal)


def test_details_cover_exactly_the_reasons():
    assert set(reasons._REASON_DETAILS) == set(outcomes.RefusalReason)
