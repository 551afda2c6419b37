"""Answers that RFC 9110 and 9112 do not allow, made from the fields and the body of a sound one."""

from itertools import product

from attrs import field, frozen

CHUNK_BYTES = 7
STATUS_LINE = b"HTTP/1.1 200 OK"
INTERIM_STATUS_LINE = b"HTTP/1.1 103 Early Hints"
LENGTH = b"Content-Length"
CHUNKED = b"Transfer-Encoding: chunked"

# Lines of a head that are no field lines.
BAD_LINE_BY_KIND = {
    "blank in the name": b"Instance Load: 1",
    "tab in the name": b"Instance\tLoad: 1",
    "control byte in the name": b"Instance\x01Load: 1",
    "NUL in the name": b"Instance\x00Load: 1",
    "DEL in the name": b"Instance\x7fLoad: 1",
    "byte above 127 in the name": b"Instance\xe9Load: 1",
    "delimiter in the name": b"Instance(Load): 1",
    "quote in the name": b'"Instance-Load": 1',
    "blank before the colon": b"Instance-Load : 1",
    "tab before the colon": b"Instance-Load\t: 1",
    "no colon": b"Instance-Load 1",
    "no name": b": 1",
    "folded line": b" Instance-Load: 1",
    "blanks only": b"  ",
    "line of a mailbox": b"From a b",
    "CR in the value": b"Instance-Load: 1\rX-A: b",
    "CR for the end of the line": b"Instance-Load: 1\r",
    "CR in the name": b"Instance\rLoad: 1",
    "NUL in the value": b"Instance-Load: 1\x00",
    "control byte in the value": b"Instance-Load: 1\x0b2",
    "DEL in the value": b"Instance-Load: 1\x7f",
}
FRAMINGS = ("length", "chunks")
# What is done to the line that frames the body.
DAMAGE_BY_KIND = {
    "framing with a blank for the hyphen": lambda line: line.replace(b"-", b" "),
    "framing with a control byte for the hyphen": lambda line: line.replace(b"-", b"\x01"),
    "framing with a blank before the colon": lambda line: line.replace(b":", b" :"),
    "framing with a blank for the colon": lambda line: line.replace(b":", b" "),
    "framing with NUL for the colon": lambda line: line.replace(b":", b"\x00"),
    "framing after a blank": lambda line: b" " + line,
    "framing with CR before the value": lambda line: line.replace(b": ", b":\r"),
    "framing with NUL before the value": lambda line: line.replace(b": ", b": \x00"),
    "framing with DEL after the value": lambda line: line + b"\x7f",
}
# Values of Content-Length; {n} is the true one.
BAD_LENGTHS = (
    *("", "x", "{n}x", "2x0", "+{n}", "-{n}", "0x{n}", "1_0", "{n}.0", "{n} {n}", "{n}, {n}"),
    *("{n};", '"{n}"', "1e1", "\xa0{n}", "\xb2"),
)
# More digits than the interpreter converts by default.
LONG_LENGTH = LENGTH + b": " + b"9" * 5000
# Lines before a chunk of n bytes.
CHUNK_SIZE_LINE = "{n:x}\r\n"
BAD_CHUNK_SIZES = tuple(
    f"{size}\r\n"
    for size in (
        *("+{n:x}", "-{n:x}", "0x{n:x}", "0_{n:x}", "{n:x}x", "{n:x} ", " {n:x}", "{n:x}\t"),
        *("\t{n:x}", "{n:x}\x0b", "\x0c{n:x}", "\x00{n:x}", "{n:x}\x00", "{n:x}\r", "{n:x} 0"),
        *("", ";a=b", "{n:x};", "{n:x};a=", "{n:x};a b", "{n:x};a=\x01", "{n:x};a=b\x7f"),
        *('{n:x};a="b', "{n:x}, 1", "{n:x}\xa0", "\xb2"),
    )
) + ("{n:x}\n",)
# Bytes between the data of a chunk and the size of the next one.
BAD_CHUNK_ENDS = (b"", b"\n", b"XY", b"\r\r", b"\n\n", b"\n\r", b"  ", b"X\r\n", b" \r\n")


@frozen
class BrokenAnswer:
    """What a faulty backend server sends in place of an answer.

    Attributes
    ----------
    kind : str
        What is wrong with it.
    content : bytes
        All that is sent.
    closes : bool
        Whether the server closes the connection afterwards.
    """

    kind: str
    content: bytes = field(repr=False)
    closes: bool = False

    @classmethod
    def from_lines(cls, kind, lines, content, closes, interim_lines=()):
        """Return an answer with these lines in its head, without their ends, and this content.

        With ``interim_lines``, an interim answer with these comes before it.
        """
        interim = _format_head([INTERIM_STATUS_LINE, *interim_lines]) if interim_lines else b""
        closing = [b"Connection: close"] if closes else []
        head = _format_head([STATUS_LINE, *closing, *lines])
        return cls(kind, interim + head + content, closes)


def make_sound_answers(fields, body):
    """Return the bytes of two sound answers, with a length and with chunks."""
    framed = [_frame(framing, body) for framing in FRAMINGS]
    return [_format_head([STATUS_LINE, *fields, line]) + content for line, content in framed]


def make_bad_lines(fields, body):
    """Return answers of which one line of the head is no field line.

    Parameters
    ----------
    fields : list[bytes]
        Lines of the head, without their ends, that do not frame the body.

    Returns
    -------
    list[BrokenAnswer]
        For each line, each framing and each place of it, one that leaves the connection open and
        one that closes it.
    """
    answers = []
    for framing, closes in product(FRAMINGS, (False, True)):
        framed, content = _frame(framing, body)
        for kind, line in BAD_LINE_BY_KIND.items():
            for place, lines in (
                ("first", [line, *fields, framed]),
                ("before the framing", [*fields, line, framed]),
                ("after the framing", [*fields, framed, line]),
            ):
                name = f"{kind}, {place}, {framing}"
                answers.append(BrokenAnswer.from_lines(name, lines, content, closes))
            name = f"{kind}, interim, {framing}"
            lines = [*fields, framed]
            answers.append(BrokenAnswer.from_lines(name, lines, content, closes, [line]))
        for kind, damage in DAMAGE_BY_KIND.items():
            name = f"{kind}, {framing}"
            lines = [*fields, damage(framed)]
            answers.append(BrokenAnswer.from_lines(name, lines, content, closes))
    return answers


def make_bad_framing(fields, body):
    """Return answers whose framing fields do not tell where the answer ends.

    Parameters and return value are those of `make_bad_lines`.
    """
    length, _ = _frame("length", body)
    _, chunks = _frame("chunks", body)
    bad = [LENGTH + b": " + value.format(n=len(body)).encode("latin-1") for value in BAD_LENGTHS]
    heads = [(line[:40].decode("latin-1"), [line], body, ()) for line in bad]
    heads += [(f"{line[:40]!r} beside chunks", [line, CHUNKED], chunks, ()) for line in bad]
    heads += [(f"{line[:40]!r} in an interim answer", [length], body, [line]) for line in bad]
    heads += [
        ("length of 5000 digits", [LONG_LENGTH], body, ()),
        ("two lengths", [length, LENGTH + b": 1"], body, ()),
        ("two lengths beside chunks", [length, LENGTH + b": 1", CHUNKED], chunks, ()),
        ("chunks in an interim answer", [length], body, [CHUNKED]),
    ]
    for coding in (b"", b"identity", b"gzip", b"gzip, chunked", b"chunked, chunked", b"xchunked"):
        line = b"Transfer-Encoding: " + coding
        heads.append((f"coding {coding!r}", [line], chunks, ()))
        heads.append((f"coding {coding!r} and a length", [line, length], body, ()))
    heads.append(("chunks and another coding", [CHUNKED, CHUNKED], chunks, ()))
    return [
        BrokenAnswer.from_lines(kind, [*fields, *lines], content, closes, interim)
        for (kind, lines, content, interim), closes in product(heads, (False, True))
    ]


def make_bad_chunks(fields, body):
    """Return answers with chunks whose size or end is malformed.

    Parameters and return value are those of `make_bad_lines`.
    """
    contents = []
    for line in BAD_CHUNK_SIZES:
        contents.append((f"size {line!r}", _format_chunks(body, line)))
        contents.append((f"last size {line!r}", _format_chunks(body, last=line)))
    for end in BAD_CHUNK_ENDS:
        contents.append((f"end {end!r}", _format_chunks(body, end=end)))
    return _in_chunks(fields, contents)


def make_cut_chunks(fields, body):
    """Return answers that end, with their connection, anywhere behind their head.

    Parameters and return value are those of `make_bad_lines`. Sizes have leading zeros, each of
    which could be that of the last chunk.
    """
    content = _format_chunks(body, "{n:08x}\r\n", trailer=b"X-A: b\r\n")
    return [
        BrokenAnswer.from_lines(f"cut at {size}", [*fields, CHUNKED], content[:size], True)
        for size in range(len(content))
    ]


def make_cut_lengths(fields, body):
    """Return answers with a length that end, with their connection, before it is reached.

    Parameters and return value are those of `make_bad_lines`.
    """
    line, content = _frame("length", body)
    return [
        BrokenAnswer.from_lines(f"cut at {size}", [*fields, line], content[:size], True)
        for size in range(len(content))
    ]


def make_bad_trailers(fields, body):
    """Return answers in chunks of which a trailer is no field line.

    Parameters and return value are those of `make_bad_lines`.
    """
    contents = [
        (f"trailer with {kind}", _format_chunks(body, trailer=before + line + b"\r\n"))
        for kind, line in BAD_LINE_BY_KIND.items()
        for before in (b"", b"X-A: b\r\n")
    ]
    return _in_chunks(fields, contents)


MAKERS = (
    make_bad_lines,
    make_bad_framing,
    make_bad_chunks,
    make_cut_chunks,
    make_cut_lengths,
    make_bad_trailers,
)


def pick_answer(make_answers, number):
    """Return a function of the fields and the body that returns one of the answers."""

    def make_broken(fields, body):
        answers = make_answers(fields, body)
        return answers[number % len(answers)]

    return make_broken


def _in_chunks(fields, contents):
    return [
        BrokenAnswer.from_lines(kind, [*fields, CHUNKED], content, closes)
        for (kind, content), closes in product(contents, (False, True))
    ]


def _format_head(lines):
    return b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def _frame(framing, body):
    """Return the line that frames a body, and the body in that framing."""
    if framing == "length":
        return LENGTH + b": %d" % len(body), body
    return CHUNKED, _format_chunks(body)


def _format_chunks(body, line=CHUNK_SIZE_LINE, end=b"\r\n", last=CHUNK_SIZE_LINE, trailer=b""):
    """Return a body in chunks.

    Parameters
    ----------
    line, last : str
        Line before each chunk of ``n`` bytes, and before the last one, which has none.
    end : bytes
        What follows the data of each chunk.
    trailer : bytes
        Lines behind the last chunk, with their ends.
    """
    chunks = [body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES)]
    sizes = [line.format(n=len(chunk)).encode("latin-1") for chunk in chunks]
    data = b"".join(size + chunk + end for size, chunk in zip(sizes, chunks, strict=True))
    return data + last.format(n=0).encode("latin-1") + trailer + b"\r\n"
