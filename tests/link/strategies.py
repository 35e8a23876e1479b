"""Hypothesis strategies for link messages, malformed lines and fragmented data."""

import itertools

from hypothesis import strategies as st

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered, Failed, FailureReason, RefusalReason, Refused
from finchshed.distribution.messages import Fetch
from finchshed.link.digests import digest_of
from finchshed.link.encoding import encode_line
from finchshed.link.messages import (
    Call,
    Cancel,
    Draining,
    Hello,
    PeerMessage,
    Ping,
    Pong,
    Reply,
)

EPOCH = "e1"

epochs = st.sampled_from([EPOCH, EPOCH, EPOCH, "e2", ""])
numbers = st.integers(min_value=0, max_value=8)
bodies = st.binary(max_size=40)
contexts = st.builds(
    CallContext,
    root=st.text(max_size=8),
    importance=st.sampled_from(Importance),
    remaining_seconds=st.floats(min_value=-1.0, max_value=10.0),
    spare_attempts=numbers,
)
loads = st.builds(LoadReport, threshold=numbers, in_flight=numbers, limit=numbers)
hellos = st.builds(
    Hello,
    node=st.sampled_from(["n1", ""]),
    incarnation=st.just("1"),
    epoch=epochs,
    service=st.text(max_size=8),
    zone=st.text(max_size=4),
    revision=numbers,
)


@st.composite
def calls(draw: st.DrawFn) -> Call:
    body = draw(bodies)
    is_corrupt = draw(st.booleans())
    return Call(
        epoch=draw(epochs),
        call=draw(numbers),
        service="s",
        method="GET",
        path=draw(st.text(max_size=8)),
        headers=(),
        body=body,
        digest=digest_of(body + b"x") if is_corrupt and draw(st.booleans()) else digest_of(body),
        context=draw(contexts),
    )


answers = st.builds(
    Answered, status=st.integers(100, 599), headers=st.just((("a", "b"),)), body=bodies
)
refusals = st.builds(Refused, reason=st.sampled_from(RefusalReason), retry_after=st.just(0.5))
failures = st.builds(Failed, reason=st.sampled_from(FailureReason), retry_after=st.just(0.5))
replies = st.builds(
    Reply,
    epoch=epochs,
    call=numbers,
    outcome=st.one_of(answers, refusals, failures),
    spare_attempts=numbers,
    load=loads,
)

messages: st.SearchStrategy[PeerMessage] = st.one_of(
    hellos,
    calls(),
    replies,
    st.builds(Cancel, epoch=epochs, call=numbers),
    st.builds(Draining, epoch=epochs),
    st.builds(Ping, epoch=epochs, revision=numbers),
    st.builds(Pong, epoch=epochs, load=loads, revision=numbers),
    st.builds(Fetch, revision=st.integers(0, (1 << 63) - 1)),
)

json_values = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=6)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)


@st.composite
def damaged_lines(draw: st.DrawFn) -> bytes:
    """Return a valid line with one part removed, repeated or replaced."""
    line = encode_line(draw(messages))
    start = draw(st.integers(0, len(line)))
    end = draw(st.integers(start, min(len(line), start + 20)))
    return line[:start] + draw(st.binary(max_size=6)) * draw(st.integers(0, 3)) + line[end:]


NESTED = b'{"type":"ping","x":' + b"[" * 5_000 + b"\n"
"""A line whose JSON is nested too deeply to decode."""

garbage = st.one_of(
    st.binary(max_size=60),
    damaged_lines(),
    json_values.map(lambda value: repr(value).encode() + b"\n"),
    st.booleans().map(lambda _: NESTED),
)


@st.composite
def cut(draw: st.DrawFn, data: bytes) -> list[bytes]:
    """Split ``data`` into fragments, as a socket might deliver it."""
    offsets = draw(st.lists(st.integers(0, len(data)), max_size=6))
    edges = [0, *sorted(offsets), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(edges) if start < end]
