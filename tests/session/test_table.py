"""Sessions are admitted once and stay pinned."""

from finchshed.session.table import NotOpened, Opened, SessionTable


def open_session(table: SessionTable, identity: str, now: float = 0.0) -> Opened | NotOpened:
    return table.open(identity, "s", "e1", max_sessions=2, idle_seconds=10.0, now=now)


def test_session_is_admitted_once_and_up_to_the_limit() -> None:
    table = SessionTable()
    assert isinstance(open_session(table, "a"), Opened)
    assert isinstance(open_session(table, "b"), Opened)
    assert isinstance(open_session(table, "c"), NotOpened)
    table.admit("a")
    again = open_session(table, "a")
    assert isinstance(again, Opened)
    assert not again.is_new


def test_moved_session_frees_its_place() -> None:
    table = SessionTable()
    open_session(table, "a")
    assert table.move("a", "e2", 1.0) is not None
    assert (table.count("e1"), table.count("e2")) == (0, 1)


def test_session_with_a_request_in_progress_does_not_expire() -> None:
    table = SessionTable()
    open_session(table, "a")
    table.on_request("a", 1.0)
    assert table.expire(100.0) == []
    table.on_answer("a", 100.0)
    assert [ended.identity for ended in table.expire(111.0)] == ["a"]


def test_session_in_use_outlives_many_looks_for_idle_ones() -> None:
    table = SessionTable()
    open_session(table, "used", 0.0)
    open_session(table, "idle", 0.0)
    for second in range(1, 30):
        table.on_request("used", float(second))
        table.on_answer("used", float(second))
        ended = [session.identity for session in table.expire(float(second))]
        assert ended == (["idle"] if second == 11 else [])
    assert [session.identity for session in table.expire(39.5)] == ["used"]
    assert len(table) == 0


def open_one(table: SessionTable) -> Opened:
    opened = table.open("a", "s", "e", max_sessions=2, idle_seconds=1.0, now=0.0)
    assert isinstance(opened, Opened)
    table.on_request("a", 0.0)
    return opened


def test_a_session_runs_once_a_request_of_it_was_started() -> None:
    table = SessionTable()
    assert open_one(table).is_new
    assert open_one(table).is_new
    table.admit("a")
    assert not open_one(table).is_new


def test_a_refused_first_request_does_not_end_a_session_with_another_in_progress() -> None:
    table = SessionTable()
    open_one(table)
    open_one(table)
    table.on_answer("a", 0.1)
    table.refuse("a")
    assert table.get("a") is not None
    table.admit("a")
    table.on_answer("a", 0.2)
    table.refuse("a")
    assert table.get("a") is not None


def test_a_session_none_of_whose_requests_was_started_ends_with_the_last() -> None:
    table = SessionTable()
    open_one(table)
    table.on_answer("a", 0.1)
    table.refuse("a")
    assert table.get("a") is None
