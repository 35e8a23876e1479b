"""Seeds of campaigns that broke a property; each stays here once it is mended."""

from finchshed.campaign.runner import run_plan, run_seed
from finchshed.campaign.scenarios import plan_of
from finchshed.proof.checks.index import Index


def test_a_change_accepted_around_the_loss_of_disks_stays_accepted() -> None:
    assert run_seed("disk-loss", 155, shrink=False).violations == []


def test_a_request_delivered_twice_is_not_refused_as_not_run_while_it_runs() -> None:
    assert run_seed("duplicates", 111, shrink=False).violations == []


def test_normal_requests_are_not_shed_more_than_sheddable_ones_after_a_surge() -> None:
    assert run_seed("overload", 21, shrink=False).violations == []


def test_each_copy_of_a_doubled_request_has_an_outcome_of_its_own() -> None:
    plan = plan_of("duplicates", 111)
    _, history = run_plan(plan)
    assert history is not None
    index = Index(history)
    copies = [call for call in index.outside_calls if "+" in call.call]
    assert copies
    for copy in copies:
        assert len(index.call_ends[copy.call]) == 1, copy
