"""The fraction of its class that a request stands for, after the thresholds it passed."""

import pytest

from finchshed.admission.rank import POSITIONS, lowest_rank_of, with_admitted_fraction
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

HALF = lowest_rank_of(Importance.NORMAL) + POSITIONS // 2
NORMAL = CallContext("r1", Importance.NORMAL, 1.0)


def test_a_request_stands_for_the_share_that_the_highest_threshold_let_through() -> None:
    assert with_admitted_fraction(NORMAL, HALF).admitted_fraction == pytest.approx(0.5)
    told_less = CallContext("r1", Importance.NORMAL, 1.0, admitted_fraction=0.2)
    assert with_admitted_fraction(told_less, HALF).admitted_fraction == 0.2


def test_no_threshold_changes_nothing() -> None:
    assert with_admitted_fraction(NORMAL, 0.0) is NORMAL


def test_what_was_admitted_as_a_whole_is_not_weighed_again() -> None:
    call = CallContext("r1", Importance.NORMAL, 1.0, is_call=True, admitted_fraction=0.8)
    assert with_admitted_fraction(call, HALF) is call
