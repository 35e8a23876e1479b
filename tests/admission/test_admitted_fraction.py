"""Admitted fraction in a request's context after it passed several thresholds."""

import pytest

from finchshed.admission.rank import POSITIONS, lowest_rank_of, with_admitted_fraction
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

HALF = lowest_rank_of(Importance.NORMAL) + POSITIONS // 2
NORMAL = CallContext("r1", Importance.NORMAL, 1.0)


def test_admitted_fraction_is_that_of_the_highest_threshold() -> None:
    assert with_admitted_fraction(NORMAL, HALF).admitted_fraction == pytest.approx(0.5)
    already_lower = CallContext("r1", Importance.NORMAL, 1.0, admitted_fraction=0.2)
    assert with_admitted_fraction(already_lower, HALF).admitted_fraction == 0.2


def test_context_is_unchanged_without_a_threshold() -> None:
    assert with_admitted_fraction(NORMAL, 0.0) is NORMAL


def test_admitted_fraction_of_a_call_is_unchanged() -> None:
    call = CallContext("r1", Importance.NORMAL, 1.0, is_call=True, admitted_fraction=0.8)
    assert with_admitted_fraction(call, HALF) is call
