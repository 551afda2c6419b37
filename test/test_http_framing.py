"""Requests whose end is not certain are refused by the WSGI server, all others arrive unchanged."""

import errno
import unittest
from types import SimpleNamespace

import eventlet
from eventlet import wsgi
from eventlet.green import socket as green_socket
from hypothesis import example, given, settings
from hypothesis import strategies as st
from loguru import logger
from result import Err

from figfold.core.codes import Code
from figfold.core.http_framing import StatusLine, find_answer_framing_fault, is_field_line
from figfold.core.traffic.configuration import CallerLimits
from figfold.entry.metrics import Metrics
from figfold.gateway.apps import RequestApp
from figfold.gateway.listener import StoppableListener
from figfold.gateway.protocol import make_gateway_protocol
from figfold.gateway.requests import RequestFailure
from standins.broken_answers import make_bad_chunks, make_bad_trailers, make_cut_chunks

ANSWER_S = 5.0
TARGETS = (
    "/a",
    "//a/b",
    "///",
    "/a//b",
    "/a/../b/./c",
    "/%2Fa/%2e%2E/%zz",
    "/a;b=c",
    "/a?",
    "//a?b=//c?d",
    "http://h/a",
    "*",
)
BAD_LENGTHS = (
    *("", "2x0", "+5", "-5", "5 5", "5, 5", "5,", "0x5", "1_0", "5.0", "1e1", "5;", '"5"'),
    *("\u0665", "\u00b2", "\x0b5", "\xa05", "five"),
)
INNER = b"POST /book/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
LAST = b"GET /read/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: last\r\nConnection: close\r\n\r\n"
CODINGS = st.sampled_from(
    ("chunked", "Chunked", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "")
    + ("xchunked", '"chunked"', "chunked;q=1", ",chunked", "chunked,", "\x0bchunked", "gzip")
)
LENGTHS = st.sampled_from(
    (f"{len(INNER)}", "0", "5", "+5", "-1", "5, 5", "0x5", "5 5", "", "\u00b2", "1e1", "5;")
)
NAMES = st.sampled_from(("{}:", "{} :", " {}:", "{}", "{}\x00:", "X-A: b\r{}:", "X-A: b\r\n {}:"))
WHITE_SPACE = st.sampled_from(("", " ", "\t", "  "))


@st.composite
def field_lines(draw):
    """Draw lines with the two fields that frame a body, most of them malformed."""
    lines = []
    for name, values in (("Transfer-Encoding", CODINGS), ("Content-Length", LENGTHS)):
        for _ in range(draw(st.integers(0, 2))):
            name_form = draw(st.just("{}:") | NAMES)
            cased = draw(st.sampled_from((name, name.lower(), name.upper())))
            value = draw(WHITE_SPACE) + draw(values) + draw(WHITE_SPACE)
            lines.append(name_form.format(cased) + value)
    return draw(st.permutations(lines))


class RequestFramingTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        metrics = Metrics()
        app = RequestApp(self.serve, lambda: "serving", metrics, logger, CallerLimits)
        protocol = make_gateway_protocol(metrics, CallerLimits, lambda _host, _path: False)
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        options = {"log_output": False, "debug": False, "socket_timeout": 0.2, "keepalive": True}
        server = eventlet.spawn(wsgi.server, listener, app, protocol=protocol, **options)
        self.addCleanup(server.kill)
        self.requests, self.targets, self.headers = [], [], []

    def serve(self, request, _watch):
        self.requests.append((request.request_id, bytes(request.body)))
        self.targets.append((request.path, request.target))
        self.headers.append(request.headers)
        return Err(RequestFailure(Code.NO_SERVER, True, "no-server"))

    def send(self, lines, body, closes=False):
        """Send a booking with the lines and the body, and a read behind it; return the answers.

        With ``closes``, nothing is sent behind the body.
        """
        self.requests.clear()
        head = "".join(f"{line}\r\n" for line in ("Host: h", "Attempt-Id: outer", *lines))
        data = b"POST /book/1 HTTP/1.1\r\n" + head.encode("latin-1") + b"\r\n" + body
        received = b""
        with green_socket.create_connection(self.address) as sock:
            sock.sendall(data if closes else data + LAST)
            if closes:
                sock.shutdown(green_socket.SHUT_WR)
            with eventlet.Timeout(ANSWER_S):
                try:
                    while part := sock.recv(65536):
                        received += part
                except ConnectionResetError:
                    pass
        return received

    # A body with another transfer coding was dropped, and the request ran without it; what was in
    # the body ran as a request of its own (UNASKED).
    @settings(max_examples=400)
    @given(field_lines(), st.booleans())
    @example(["Transfer-Encoding: gzip, chunked"], False)
    @example(["Transfer-Encoding: gzip, chunked"], True)
    @example(["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"], True)
    @example(["Transfer-Encoding: identity"], False)
    @example(["X-A: b", "no colon"], False)
    def test_no_body_is_dropped_or_taken_for_a_request(self, lines, is_chunked):
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(INNER), INNER) if is_chunked else INNER
        answers = self.send(lines, body)
        whole = {("outer", INNER), ("last", b"")}
        if self.requests:
            proper = (
                ["Transfer-Encoding:chunked"] if is_chunked else [f"Content-Length:{len(INNER)}"]
            )
            sent = ["".join(line.split()).lower() for line in lines]
            if sent == [one.lower() for one in proper]:
                self.assertEqual(set(self.requests), whole)
            else:
                # No length or another one, which is a proper request by itself.
                (length,) = [int(line.partition(":")[2]) for line in lines] or (0,)
                self.assertEqual(self.requests[0], ("outer", (body + LAST)[:length]))
        else:
            self.assertIn(answers.split()[1], (b"400", b"501"))
            self.assertEqual(answers.count(b"HTTP/1.1 "), 1)

    def test_proper_bodies_arrive_unchanged(self):
        chunks = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n"
        for lines, body in (
            (["Transfer-Encoding: chunked"], chunks),
            (["transfer-encoding:\tChunked "], chunks),
            (["Transfer-Encoding: chunked"], b'0005 ; a = "b" ;c\r\nabcde\r\n000\r\n\r\n'),
            (["Content-Length: 5"], b"abcde"),
            (["content-length:5 \t"], b"abcde"),
        ):
            with self.subTest(lines=lines):
                self.send(lines, body)
                self.assertEqual(self.requests, [("outer", b"abcde"), ("last", b"")])

    # A size with a sign, a prefix or white space was taken, as was one that was cut off among its
    # zeros, and any line for the end of a chunk.
    def test_malformed_chunks_are_refused(self):
        for make_answers in (make_bad_chunks, make_cut_chunks, make_bad_trailers):
            for answer in make_answers([], b"body of a booking"):
                _, _, chunks = answer.content.partition(b"\r\n\r\n")
                with self.subTest(answer=answer):
                    answers = self.send(
                        ["Transfer-Encoding: chunked"], chunks, closes=answer.closes
                    )
                    self.assertEqual(self.requests, [])
                    self.assertTrue(answers.startswith(b"HTTP/1.1 400 "), answers)
                    self.assertEqual(answers.count(b"HTTP/1.1 "), 1)

    # What follows a malformed chunk is never read as a request.
    def test_no_request_is_read_behind_a_malformed_chunk(self):
        for malformed in (b"zz\r\n", b"+0\r\n\r\n", b"1\r\nab\r\n", b"0\r\nno field\r\n"):
            with self.subTest(malformed=malformed):
                self.send(["Transfer-Encoding: chunked"], malformed + b"0\r\n\r\n" + INNER)
                self.assertEqual(self.requests, [])

    def test_request_without_a_body_ends_with_its_head(self):
        self.send([], b"")
        self.assertEqual(self.requests, [("outer", b""), ("last", b"")])

    # A path that begins with two slashes was joined to one, so that another route's service ran the
    # request (ROUTE, UNASKED).
    def test_target_is_routed_and_passed_on_as_it_was_sent(self):
        for target in TARGETS:
            with self.subTest(target=target):
                self.targets.clear()
                with green_socket.create_connection(self.address) as sock:
                    head = f"GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                    sock.sendall(head.encode())
                    while sock.recv(65536):
                        pass
                self.assertEqual(self.targets, [(target.partition("?")[0], target)])

    # The request reached its server without its id.
    def test_id_is_passed_on_although_it_is_named_as_of_the_connection(self):
        self.send(["Connection: attempt-id, x-a", "X-A: 1", "Content-Length: 0"], b"")
        names = [name.lower() for name, _ in self.headers[0]]
        self.assertIn("attempt-id", names)
        self.assertNotIn("x-a", names)

    def test_empty_line_before_a_request_is_ignored(self):
        self.send(["Content-Length: 5"], b"abcde\r\n")
        self.assertEqual(self.requests, [("outer", b"abcde"), ("last", b"")])

    def test_unknown_coding_is_not_implemented(self):
        answers = self.send(["Transfer-Encoding: gzip, chunked"], b"0\r\n\r\n")
        self.assertTrue(answers.startswith(b"HTTP/1.1 501 "), answers)
        self.assertIn(b"Connection: close", answers)

    @given(st.binary(max_size=12))
    def test_field_line_is_what_the_library_reads_as_one_line(self, data):
        line = b"X" + data + b"\n"
        if is_field_line(line):
            self.assertEqual(len(line.decode("latin-1").splitlines()), 1 + line.count(b"\x85"))
            self.assertIn(b":", line)


class ListenerTest(unittest.TestCase):
    # The process took no connection any more once its descriptors had been exhausted.
    def test_exhausted_descriptors_do_not_end_the_listener(self):
        results = [OSError(errno.EMFILE, "too many"), OSError(errno.ENFILE, "too many"), "accepted"]

        def accept():
            result = results.pop(0)
            if isinstance(result, OSError):
                raise result
            return result

        self.assertEqual(StoppableListener(SimpleNamespace(accept=accept)).accept(), "accepted")


class AnswerFramingTest(unittest.TestCase):
    def test_answers(self):
        for codings, lengths, expected in (
            ([], [], True),
            ([], ["5"], True),
            ([], ["5", "5"], True),
            ([], ["5", "6"], False),
            (["chunked"], ["5"], True),
            (["Chunked "], [], True),
            (["gzip, chunked"], [], False),
            (["chunked", "chunked"], [], False),
            (["identity"], ["5"], False),
            (["chunked"], ["5", "6"], False),
            (["chunked"], ["x"], False),
            ([""], [], False),
            ([], [" 0005\t"], True),
            *(([], [length], False) for length in BAD_LENGTHS),
            *(([], [length] * 2, False) for length in BAD_LENGTHS),
        ):
            with self.subTest(codings=codings, lengths=lengths):
                fault = find_answer_framing_fault(StatusLine("HTTP/1.1", 200, ""), codings, lengths)
                self.assertEqual(fault is None, expected, fault)

    def test_versions_and_statuses_that_have_no_codings(self):
        for version, status, codings, expected in (
            ("HTTP/1.0", 200, ["chunked"], False),
            ("HTTP/1.0", 200, [], True),
            ("HTTP/1.1", 204, ["chunked"], False),
            ("HTTP/1.1", 103, ["chunked"], False),
            ("HTTP/1.1", 304, ["chunked"], True),
            ("HTTP/1.1", 204, [], True),
        ):
            with self.subTest(version=version, status=status, codings=codings):
                fault = find_answer_framing_fault(StatusLine(version, status, ""), codings, [])
                self.assertEqual(fault is None, expected, fault)


if __name__ == "__main__":
    unittest.main()
