"""Request bodies are read whole or refused, and stay within the memory limit."""

import io
import unittest

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.gateway.bodies import BodyMemoryLimiter, read_body
from figfold.gateway.requests import RequestFailure


def environ_of(body, declared=None, chunked=False):
    environ = {"wsgi.input": io.BytesIO(body)}
    if chunked:
        environ["HTTP_TRANSFER_ENCODING"] = "chunked"
    else:
        environ["CONTENT_LENGTH"] = str(len(body) if declared is None else declared)
    return environ


class BodyTest(unittest.TestCase):
    @given(st.integers(0, 300_000), st.booleans(), st.integers(0, 250_000), st.integers(0, 250_000))
    def test_body_is_whole_or_refused_and_only_returned_bodies_hold_memory(
        self, size, chunked, limit, room
    ):
        memory = BodyMemoryLimiter(room)
        read = read_body(environ_of(bytes(size), chunked=chunked), limit, memory)
        if isinstance(read, RequestFailure):
            self.assertTrue(size > limit or size > room)
            self.assertEqual(0, memory.held_bytes)
            self.assertTrue(read.is_not_run)
        else:
            self.assertEqual(bytes(size), read)
            self.assertLessEqual(size, limit)
            self.assertEqual(size, memory.held_bytes)

    def test_body_without_memory_is_refused_until_others_are_released(self):
        memory = BodyMemoryLimiter(1000)
        first = read_body(environ_of(bytes(600)), 1000, memory)
        refused = read_body(environ_of(bytes(600)), 1000, memory)
        self.assertIs(Code.NO_MEMORY, refused.code)
        self.assertGreater(refused.retry_after_s, 0.0)
        memory.release(len(first))
        self.assertEqual(bytes(600), read_body(environ_of(bytes(600)), 1000, memory))

    def test_body_that_ends_early_is_refused(self):
        memory = BodyMemoryLimiter()
        read = read_body(environ_of(b"short", declared=9), 100, memory)
        self.assertIs(Code.BAD_REQUEST, read.code)
        self.assertEqual(0, memory.held_bytes)


if __name__ == "__main__":
    unittest.main()
