"""Heads of answers that are none, by what is wrong with them."""

IDENTITY = b"finchshed-request: r1\r\n"
BODY = b"content-length: 2\r\n\r\nok"

TOKEN_DELIMITERS = b'"(),/:;<=>?@[\\]{}'
"""Visible bytes that a field's name mustn't hold (RFC 9110, 5.6.2)."""

BAD_NAME_BYTES = [
    *range(0x21),
    *(byte for byte in TOKEN_DELIMITERS if byte != ord(":")),
    *range(0x7F, 0x100),
]
BAD_VALUE_BYTES = [*range(0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F]

STATUS_LINES = {
    **{f"status {code:03}": b"HTTP/1.1 %03d X" % code for code in (0, 1, 20, 99, 600, 700, 999)},
    "status of two digits": b"HTTP/1.1 20 X",
    "status of four digits": b"HTTP/1.1 2000 X",
    "status with a sign": b"HTTP/1.1 -20 X",
    "status with a letter": b"HTTP/1.1 20a X",
    "status of other digits": b"HTTP/1.1 \xb2\xb0\xb0 X",
    "two blanks": b"HTTP/1.1  200 X",
    "tab": b"HTTP/1.1\t200 X",
    "no version": b"HTTP 200 X",
    "version 0.9": b"HTTP/0.9 200 X",
    "version 2.0": b"HTTP/2.0 200 X",
    "other protocol": b"ICE/1.0 200 X",
    "lower case": b"http/1.1 200 X",
    "protocol switched": b"HTTP/1.1 101 X\r\nupgrade: x\r\nconnection: upgrade",
    "protocol switched without a name": b"HTTP/1.1 101 X",
}
"""Status lines that begin no answer to a request."""

LINES = {
    **{f"name with {byte:#04x}": b"x" + bytes([byte]) + b"y: 1" for byte in BAD_NAME_BYTES},
    **{f"value with {byte:#04x}": b"x: a" + bytes([byte]) + b"b" for byte in BAD_VALUE_BYTES},
    "blank before the colon": b"x : 1",
    "tab before the colon": b"x\t: 1",
    "blank before the name": b" x: 1",
    "no colon": b"xyz",
    "no name": b": 1",
    "folded by a blank": b"x: 1\r\n 2",
    "folded by a tab": b"x: 1\r\n\t2",
    "carriage return alone": b"x: 1\ry: 2",
    "line feed alone": b"x: 1\ny: 2",
    "length again": b"content-length: 2",
    "another length": b"content-length: 3",
    "lengths in a list": b"content-length: 2, 2",
    "length and chunks": b"transfer-encoding: chunked",
    "length and an unknown coding": b"transfer-encoding: x",
}
"""Lines that no head may hold, before a length of two bytes."""

LENGTHS = {
    "negative": b"content-length: -2",
    "signed": b"content-length: +2",
    "hexadecimal": b"content-length: 0x2",
    "empty": b"content-length: ",
    "fraction": b"content-length: 2.0",
    "too large for a number": b"content-length: 99999999999999999999999",
    "blank before the colon": b"content-length : 2",
    "coding after chunks": b"transfer-encoding: chunked, x",
    "coding before chunks": b"transfer-encoding: gzip, chunked",
    "coding without chunks": b"transfer-encoding: gzip",
    "chunks twice": b"transfer-encoding: chunked\r\ntransfer-encoding: chunked",
    "codings in two lines": b"transfer-encoding: gzip\r\ntransfer-encoding: chunked",
    "empty coding": b"transfer-encoding: ",
}
"""Lines in place of the length."""


def broken_answers() -> dict[str, bytes]:
    """Return answers to the request ``r1`` that must not be taken as such."""
    ok = b"HTTP/1.1 200 OK\r\n"
    found = {name: line + b"\r\n" + IDENTITY + BODY for name, line in STATUS_LINES.items()}
    found |= {name: ok + line + b"\r\n" + IDENTITY + BODY for name, line in LINES.items()}
    found |= {
        f"{name}, last": ok + IDENTITY + line + b"\r\n" + BODY for name, line in LINES.items()
    }
    found |= {
        f"length: {name}": ok + IDENTITY + line + b"\r\n\r\nok" for name, line in LENGTHS.items()
    }
    return found
