"""Session table: admission, pins and idle timeouts."""

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


def test_moved_session_is_counted_at_its_new_endpoint_only() -> None:
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
    assert [closed.identity for closed in table.expire(111.0)] == ["a"]


def test_session_in_use_does_not_expire() -> None:
    table = SessionTable()
    open_session(table, "used", 0.0)
    open_session(table, "idle", 0.0)
    for second in range(1, 30):
        table.on_request("used", float(second))
        table.on_answer("used", float(second))
        closed = [session.identity for session in table.expire(float(second))]
        assert closed == (["idle"] if second == 11 else [])
    assert [session.identity for session in table.expire(39.5)] == ["used"]
    assert len(table) == 0


def open_with_request(table: SessionTable) -> Opened:
    opened = table.open("a", "s", "e", max_sessions=2, idle_seconds=1.0, now=0.0)
    assert isinstance(opened, Opened)
    table.on_request("a", 0.0)
    return opened


def test_session_is_new_until_one_of_its_requests_is_started() -> None:
    table = SessionTable()
    assert open_with_request(table).is_new
    assert open_with_request(table).is_new
    table.admit("a")
    assert not open_with_request(table).is_new


def test_refused_request_does_not_close_a_session_with_another_in_progress() -> None:
    table = SessionTable()
    open_with_request(table)
    open_with_request(table)
    table.on_answer("a", 0.1)
    table.refuse("a")
    assert table.get("a") is not None
    table.admit("a")
    table.on_answer("a", 0.2)
    table.refuse("a")
    assert table.get("a") is not None


def test_session_without_a_started_request_closes_with_its_last_request() -> None:
    table = SessionTable()
    open_with_request(table)
    table.on_answer("a", 0.1)
    table.refuse("a")
    assert table.get("a") is None
