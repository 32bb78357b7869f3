"""Invalid requests that must never reach a handler, by the kind of fault."""

HEAD_LIMIT = 1_000
BODY_LIMIT = 100

_LINE = b"POST /a HTTP/1.1\r\n"
_HOST = b"Host: h\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _post(fields, body=b""):
    return _LINE + _HOST + fields + b"\r\n" + body


BAD_REQUESTS = {
    "both lengths": _post(b"Content-Length: 3\r\n" + _CHUNKED, b"0\r\n\r\n"),
    "both lengths, other order": _post(
        _CHUNKED + b"Content-Length: 3\r\n", b"0\r\n\r\n"
    ),
    "two equal lengths": _post(b"Content-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
    "two lengths": _post(b"Content-Length: 3\r\ncontent-length: 0\r\n", b"abc"),
    "list of lengths": _post(b"Content-Length: 3, 3\r\n", b"abc"),
    "signed length": _post(b"Content-Length: +3\r\n", b"abc"),
    "negative length": _post(b"Content-Length: -1\r\n"),
    "empty length": _post(b"Content-Length: \r\n"),
    "endless length": _post(b"Content-Length: " + b"9" * 30 + b"\r\n"),
    "unknown coding": _post(b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"),
    "coding twice": _post(_CHUNKED * 2, b"0\r\n\r\n"),
    "coding in HTTP/1.0": b"POST /a HTTP/1.0\r\n" + _CHUNKED + b"\r\n0\r\n\r\n",
    "bare LF ends lines": b"GET /a HTTP/1.1\nHost: h\n\n",
    "bare LF in the head": _LINE + b"Host: h\nX: y\r\n\r\n",
    "bare LF ends the head": _LINE + b"Host: h\r\n\n",
    "bare CR in a value": _post(b"X: a\rb\r\n"),
    "bare LF after the last chunk": _post(_CHUNKED, b"0\r\n\n"),
    "trailer": _post(_CHUNKED, b"0\r\nX: y\r\n\r\n"),
    "trailer with bare LF": _post(_CHUNKED, b"0\r\nX: y\n\r\n"),
    "folded field": _post(b"X: a\r\n b\r\n"),
    "space before the colon": _post(b"Content-Length : 3\r\n", b"abc"),
    "field without a colon": _post(b"nonsense\r\n"),
    "NUL in a value": _post(b"X: a\0b\r\n"),
    "no Host": _LINE + b"\r\n",
    "two Hosts": _post(_HOST),
    "absolute target": b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
    "authority target": b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
    "asterisk target": b"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
    "fragment": b"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
    "space in the target": b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "byte over 127 in the target": b"GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n",
    "no version": b"GET /a\r\nHost: h\r\n\r\n",
    "HTTP/2 preface": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "version 2": b"GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
    "TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    "empty line first": b"\r\n" + _LINE + _HOST + b"\r\n",
    "huge head": _post(b"X: " + b"a" * HEAD_LIMIT + b"\r\n"),
    "endless head": _LINE + b"X: " + b"a" * HEAD_LIMIT * 2,
    "huge body": _post(b"Content-Length: 101\r\n", b"a" * 101),
    "huge chunked body": _post(_CHUNKED, b"65\r\n" + b"a" * 101 + b"\r\n0\r\n\r\n"),
    "bad chunk size": _post(_CHUNKED, b"0x1\r\na\r\n0\r\n\r\n"),
    "chunk without its end": _post(_CHUNKED, b"1\r\nab\r\n0\r\n\r\n"),
    "chunk size after bare LF": _post(_CHUNKED, b"1\na\r\n0\r\n\r\n"),
}

STATUS_BY_NAME = {
    "huge head": 431,
    "endless head": 431,
    "huge body": 413,
    "huge chunked body": 413,
}
