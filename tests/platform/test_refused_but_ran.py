"""Guards against clients that are promised that a request did not run, while a back end runs it."""

import random
from pathlib import Path

import pytest

from tests.platform.duplicating_backend import CopyTime, DuplicatingBackend, DuplicationPlan
from tests.platform.fake_backend import working
from tests.platform.fake_platform import ZONES, route, run_platform, wait_until_known
from tests.platform.promised_load import mixed_up, send_promised, sendings_of, statuses
from tests.platform.promises import broken_promises, ran_twice

REQUESTS = 400
REQUESTS_PER_SECOND = 100.0
WORK_SECONDS = 0.03


@pytest.mark.parametrize(
    ("seed", "times"),
    [(1, (CopyTime.NEXT_REQUEST,)), (2, (CopyTime.SEVERAL_REQUESTS,)), (3, tuple(CopyTime))],
)
async def test_copies_of_answers_neither_promise_nor_repeat(
    tmp_path: Path, seed: int, times: tuple[CopyTime, ...]
) -> None:
    plan = DuplicationPlan(random.Random(seed), refused_fraction=0.5, times=times)
    async with run_platform(
        tmp_path,
        *["sales"] * 3,
        handlers={"sales": working(WORK_SECONDS)},
        zones=ZONES[:1],
        make_backend=DuplicatingBackend,
    ) as running:
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        for backend in running.backends:
            assert isinstance(backend, DuplicatingBackend)
            backend.plan = plan
        requests = await send_promised(
            running, REQUESTS, REQUESTS_PER_SECOND, random.Random(f"load {seed}")
        )
        assert plan.copies > REQUESTS // 10
        assert broken_promises(sendings_of(requests), running.backends) == []
        identities = [request.identity for request in requests]
        assert ran_twice(identities, running.backends) == []
        assert mixed_up(requests) == []
        assert statuses(requests)[200] > REQUESTS // 2
