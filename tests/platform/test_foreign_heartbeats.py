"""Guards against heartbeats of another writer being taken for the back end's own."""

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed_platform.heartbeats import read_heartbeat, read_leave
from tests.platform.fake_platform import route, run_platform, wait_until, wait_until_known

ROUTES = (route("/look/", "sales"),)
WHOLE: dict[str, Any] = {
    "address": "127.0.0.1:8301",
    "born": 1_700_000_000_000,
    "info": {"service": "sales", "version": "v1", "zone": "zone-a", "slots": 8},
    "status": {"state": "ready", "sequence": 9_999, "cold_remaining_s": 0},
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=12,
)


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return a heartbeat with one field replaced, or without it if ``value`` is None."""
    body = copy.deepcopy(WHOLE)
    *parents, name = path.split(".")
    table = body
    for parent in parents:
        table = table[parent]
    if value is None:
        del table[name]
    else:
        table[name] = value
    return body


DAMAGED: list[dict[str, Any] | bytes] = [
    changed("status.state", "up"),
    changed("status.state", ""),
    changed("status.state", 1),
    changed("status.sequence", "9999"),
    changed("status.sequence", 1.5),
    changed("status.sequence", -1),
    changed("info.slots", "8"),
    changed("info.slots", 0),
    changed("info.slots", True),
    changed("info.service", 7),
    changed("born", "yesterday"),
    changed("born", 1.5),
    changed("born", -1),
    changed("address", 8301),
    *(changed(path, None) for path in ("address", "info", "status", "info.service")),
    *(changed(path, None) for path in ("info.version", "info.zone", "info.slots")),
    *(changed(path, None) for path in ("status.state", "status.sequence")),
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe\x00",
    json.dumps(WHOLE).encode()[:-9],
]


@pytest.mark.parametrize("body", DAMAGED, ids=str)
def test_damaged_heartbeat_is_rejected(body: dict[str, Any] | bytes) -> None:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    with pytest.raises(msgspec.DecodeError):
        read_heartbeat("i-1", data)


@given(st.binary(max_size=200) | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
@settings(max_examples=400, deadline=None)
def test_any_bytes_are_read_or_rejected(data: bytes) -> None:
    for read in (lambda: read_heartbeat("i-1", data), lambda: read_leave(data)):
        try:
            read()
        except msgspec.DecodeError:
            continue


@given(
    st.sampled_from(["address", "born", "info", "status", "info.slots", "status.state"]),
    JSON_VALUES.filter(lambda value: value is not None),
)
@settings(max_examples=400, deadline=None)
def test_replaced_field_is_read_or_rejected(path: str, value: Any) -> None:
    try:
        heartbeat = read_heartbeat("i-1", json.dumps(changed(path, value)).encode())
    except msgspec.DecodeError:
        return
    assert heartbeat.slots > 0
    assert heartbeat.born_ms >= 0


# A damaged heartbeat, or one of a service that nobody declared, names no back end to use.
async def test_heartbeats_of_another_writer_harm_no_request(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales", "sales") as running:
        await wait_until_known(running, *ROUTES)
        backend = running.backends[0]
        foreign: list[dict[str, Any] | bytes] = [
            *DAMAGED,
            changed("info.service", "unknown"),
            changed("info.service", ""),
        ]
        statuses = []
        for body in foreign:
            sent = body
            if isinstance(body, dict) and body.get("born") == WHOLE["born"]:
                sent = {**body, "born": backend.born_ms + 1}
            for instance in ("i-0", "i-foreign"):
                statuses.append(await backend.post("heartbeat", sent, instance))
            answers = await asyncio.gather(
                *(running.send_request("/look/x", daemon=number % 2) for number in range(6))
            )
            assert {answer.status for answer in answers} == {200}, body
        assert await backend.post("leave", b"{", "i-0") == 400
        assert set(statuses) == {400}

        async def is_logged() -> bool:
            return "heartbeat passed over" in running.daemons[0].log()

        await wait_until(is_logged, 2.0)
        log = running.daemons[0].log()
        assert "i-foreign of" not in log
        assert log.count("heartbeat passed over") <= 20
