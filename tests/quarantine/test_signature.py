"""Request signatures: equal for the same work, different for other work or callers."""

import time

import pytest

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.request import Request
from finchshed.daemon.signatures import SignatureFactory
from finchshed.quarantine.signature import SIGNATURE_BYTES, signature_of

NAMES = HeaderNames()
SIGNATURES = SignatureFactory(NAMES)


def request(
    path: str = "/look/1",
    body: bytes = b"",
    *,
    root: str = "r1",
    depth: int = 0,
    service: str = "sales",
    **headers: str,
) -> Request:
    fields = {"host": "sales.example", "x-trace": root, NAMES.caller_service: "portal"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    context = CallContext(root, Importance.NORMAL, 1.0, 1, depth=depth)
    return Request(service, "GET", path, tuple(fields.items()), body, context, identity=root)


def test_signature_does_not_depend_on_request_identity_or_daemon() -> None:
    first = SIGNATURES.compute(request())
    assert len(first) == 2 * SIGNATURE_BYTES
    elsewhere = {NAMES.caller_service.replace("-", "_"): "ledger"}
    assert SIGNATURES.compute(request(root="r2", **elsewhere)) == first


@pytest.mark.parametrize(
    "other",
    [
        request("/look/2"),
        request("/look/1?n=1"),
        request(body=b"x"),
        request(service="ledger"),
        request(host="other.example"),
        request(authorization="Bearer other"),
        request(cookie="session=2"),
        request(**{NAMES.tenant.replace("-", "_"): "county"}),
    ],
)
def test_other_work_and_other_callers_have_different_signatures(other: Request) -> None:
    assert SIGNATURES.compute(other) != SIGNATURES.compute(request())


def test_signature_of_a_call_depends_on_the_calling_service() -> None:
    name = NAMES.caller_service.replace("-", "_")
    first = SIGNATURES.compute(request(depth=1, **{name: "sales"}))
    assert SIGNATURES.compute(request(depth=2, root="r2", **{name: "sales"})) == first
    assert SIGNATURES.compute(request(depth=1, **{name: "ledger"})) != first


def test_adjacent_parts_are_unambiguous() -> None:
    assert signature_of("a", "bc", "d", (), b"") != signature_of("ab", "c", "d", (), b"")
    assert signature_of("a", "b", "c", ("d",), b"e") != signature_of("a", "b", "c", (), b"de")


def test_one_megabyte_body_takes_a_few_milliseconds() -> None:
    body = bytes(1 << 20)
    began = time.process_time()
    for _ in range(10):
        signature_of("sales", "POST", "/buy", (), body)
    assert (time.process_time() - began) / 10 < 0.02
