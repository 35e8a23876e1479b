"""What the sample data folders and the sample link hold, as text."""

_KEYS = [f"018bcfe5-6800-7000-8000-00000000000{number}" for number in range(4)]
_ANSWER = '{"type":"answered","status":201,"headers":[["a","b"]],"body":"AP8="}'
_CHANGES = [
    '{"change_id":"c1","operator":"bootstrap","expected_revision":0,"puts":['
    '{"type":"operator","name":"o","token_sha256":"' + "ab" * 32 + '"},'
    '{"type":"service","name":"s","routes":[{"prefix":"/x","importance":3,"repeatable":false}]},'
    '{"type":"endpoint","name":"e","service":"s","region":"r","zone":"z",'
    '"address":"10.0.0.2:7000","slots":4}]}',
    '{"change_id":"c2","operator":"o","expected_revision":0,"puts":[{"type":"policy"}]}',
    '{"change_id":"c3","operator":"o","expected_revision":1,'
    '"deletes":[{"kind":"endpoint","name":"e"}]}',
    '{"change_id":"c4","operator":"o","expected_revision":2,"puts":[{"type":"policy",'
    '"ledger_shards":[["10.0.0.3:7001"]]}],"version":5,"source":"{}"}',
]


def _entry(place: int, command: str) -> bytes:
    return f'{{"time":{1_700_000_000.5 + place},"command":{command}}}'.encode()


def _change(number: int) -> str:
    return f'{{"type":"apply_change","change":{_CHANGES[number]}}}'


def _ledger(kind: str, number: int, more: str = "") -> str:
    return f'{{"type":"{kind}","key":"{_KEYS[number]}","attempt":"t{number}"{more}}}'


FIRST = [
    _entry(place, command)
    for place, command in enumerate(
        [
            _change(0),
            _change(1),
            _ledger("begin", 0),
            _ledger("complete", 0, f',"answer":{_ANSWER}'),
            _ledger("begin", 1),
            _ledger("cancel", 1),
            _ledger("begin", 2),
            '{"type":"note_action","operator":"o","action":"backup","subject":"one"}',
            '{"type":"note_quota_holders","added":["d1","d2"],"removed":[]}',
        ]
    )
]
"""Entries of the replicated log that the snapshot stands for."""

LATER = [
    _entry(20 + place, command)
    for place, command in enumerate(
        [
            _change(2),
            _ledger("complete", 2, ',"answer":null'),
            _ledger("begin", 3),
            '{"type":"note_quota_holders","added":["d3"],"removed":["d1"]}',
            _change(3),
        ]
    )
]
"""Entries that the journal holds after the snapshot."""
