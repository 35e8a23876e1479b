"""The share of its class that a request stands for, after the thresholds it passed."""

import pytest

from finchshed.admission.rank import POSITIONS, class_floor, passed
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

HALF = class_floor(Importance.NORMAL) + POSITIONS // 2
NORMAL = CallContext("r1", Importance.NORMAL, 1.0)


def test_a_request_stands_for_the_share_that_the_highest_threshold_let_through() -> None:
    assert passed(NORMAL, HALF).admitted_share == pytest.approx(0.5)
    told_less = CallContext("r1", Importance.NORMAL, 1.0, admitted_share=0.2)
    assert passed(told_less, HALF).admitted_share == 0.2


def test_no_threshold_changes_nothing() -> None:
    assert passed(NORMAL, 0.0) is NORMAL


def test_what_was_admitted_as_a_whole_is_not_weighed_again() -> None:
    call = CallContext("r1", Importance.NORMAL, 1.0, is_call=True, admitted_share=0.8)
    assert passed(call, HALF) is call
