"""The answers to callers and operators when an application of an entry fails unexpectedly."""

import json
import unittest
from unittest import mock

import eventlet
from attrs import Factory, define
from eventlet import wsgi
from eventlet.green.http.client import HTTPConnection, IncompleteRead
from loguru import logger
from result import Ok

from figfold.core.model import Service
from figfold.entry.admin_app import AdminApp
from figfold.entry.app_errors import AppErrors
from figfold.entry.caller_app import CallerApp
from figfold.entry.http_protocol import make_protocol
from figfold.entry.large_body import LargeBody
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import ServerAnswer

LOOPBACK = "127.0.0.1"
LARGE_BYTES = 100_000
SECRET = "a secret of the entry"
REQUEST_PATH = "/s/read/short"
LOOKUP_PATH = "/v1/lookup?service=read&caller=1"
TIMEOUT_S = 10


def fail(*_arguments):
    """Raise an unexpected error."""
    raise RuntimeError(SECRET)


def time_out(*_arguments):
    """Raise a time-out that is caught nowhere."""
    raise eventlet.Timeout(None)


def _large_answer(parts, on_end):
    begin = bytes(LARGE_BYTES)
    return ServerAnswer(200, (), begin, "s1", LargeBody(parts, on_end), 2 * LARGE_BYTES)


@define
class Reply:
    """A received answer, with its decoded body if that is JSON."""

    status: int
    headers: dict
    data: bytes
    value: dict = Factory(dict)


class AppErrorsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.lines = []
        logger.remove()
        logger.add(self.lines.append, level="WARNING", format="{message} {extra}")
        self.addCleanup(logger.remove)

    def serve(self, app):
        """Serve an application, and store its port for `request`."""
        listener = eventlet.listen((LOOPBACK, 0))
        self.port = listener.getsockname()[1]
        options = {"log_output": False, "protocol": make_protocol(self.metrics), "debug": False}
        server = eventlet.spawn(wsgi.server, listener, app, **options)
        self.addCleanup(listener.close)
        self.addCleanup(server.kill)
        return app

    def serve_callers(self, look_up=fail, serve=fail, plan_version=lambda: 1):
        service = Service("read", {}, 3, 360, ("GET",))
        return self.serve(
            CallerApp(
                entry_name="e1",
                place="a",
                service_by_name={"read": service},
                look_up=look_up,
                serve=serve,
                is_leaving=lambda: False,
                plan_version=plan_version,
                metrics=self.metrics,
                errors=AppErrors("caller", self.metrics, logger),
            )
        )

    def serve_operators(self):
        names = ("health", "status", "metrics_text", "refresh_plan", "accept_offer", "explain")
        return self.serve(
            AdminApp.from_config(
                mock.Mock(allowed_networks=("127.0.0.0/8",)),
                **dict.fromkeys(names, fail),
                metrics=self.metrics,
                errors=AppErrors("admin", self.metrics, logger),
            )
        )

    def request(self, path, method="GET", **options):
        connection = HTTPConnection(LOOPBACK, self.port, timeout=TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.request(method, path, **options)
        answer = connection.getresponse()
        reply = Reply(answer.status, dict(answer.getheaders()), answer.read())
        if reply.headers.get("Content-Type") == "application/json":
            reply.value = json.loads(reply.data)
        return reply

    def count(self, counter, **labels):
        return self.metrics.value_by_counter[counter, tuple(sorted(labels.items()))]

    def assert_refused(self, reply, outcome):
        self.assertEqual((500, "901"), (reply.status, reply.headers.get("Figfold-Code")))
        self.assertEqual(outcome, reply.headers["Figfold-Outcome"])
        fields = (reply.value["code"], reply.value["name"], reply.value["outcome"])
        self.assertEqual((901, "entry_error", outcome), fields)
        self.assertNotIn(SECRET.encode(), reply.data)
        self.assertNotIn(b"Traceback", reply.data)

    def test_request_ends_in_a_coded_refusal_of_unknown_outcome(self):
        for error, kind in ((fail, "RuntimeError"), (time_out, "Timeout")):
            with self.subTest(kind):
                app = self.serve_callers(serve=error)
                self.assert_refused(self.request(REQUEST_PATH), "unknown")
                self.assertEqual(1, self.count("app_errors", port="caller", kind=kind))
                self.assertEqual(0, app.in_progress)
        self.assertEqual(2, self.count("results", code="901", name="entry_error"))

    def test_look_up_ends_in_a_coded_refusal(self):
        app = self.serve_callers()
        self.assert_refused(self.request(LOOKUP_PATH), "not-run")
        self.assertEqual(0, app.in_progress)

    def test_answer_that_cannot_be_started_ends_in_a_refusal(self):
        versions = iter((fail, lambda: 1))
        answer = ServerAnswer(200, (), b"whole", "s1", None, 5)
        self.serve_callers(serve=lambda _: Ok(answer), plan_version=lambda: next(versions)())
        self.assert_refused(self.request(REQUEST_PATH), "unknown")

    def test_error_within_an_answer_ends_the_connection_and_is_counted(self):
        ends = []

        def parts():
            yield b"more"
            fail()

        answer = _large_answer(parts(), ends.append)
        app = self.serve_callers(serve=lambda _: Ok(answer))
        self.assertRaises(IncompleteRead, self.request, REQUEST_PATH)
        self.assertEqual(1, self.count("app_errors", port="caller", kind="RuntimeError"))
        self.assertEqual((0, [False]), (app.in_progress, ends))
        self.assertEqual(0, self.count("results", code="901", name="entry_error"))

    def test_answer_that_a_backend_server_cuts_short_is_no_error_of_the_entry(self):
        def parts():
            raise ConnectionResetError
            yield

        answer = _large_answer(parts(), lambda _: None)
        self.serve_callers(serve=lambda _: Ok(answer))
        self.assertRaises(IncompleteRead, self.request, REQUEST_PATH)
        self.assertEqual(0, self.count("app_errors", port="caller", kind="ConnectionResetError"))
        self.assertEqual([], self.lines)

    def test_each_kind_of_error_is_logged_once(self):
        self.serve_callers(look_up=time_out)
        for path in (REQUEST_PATH, REQUEST_PATH, LOOKUP_PATH, LOOKUP_PATH):
            self.request(path)
        self.assertEqual(2, len(self.lines))
        self.assertIn("RuntimeError", self.lines[0])
        self.assertIn("test_app_errors.py", self.lines[0])
        self.assertIn("Timeout", self.lines[1])
        self.assertEqual([1, 1], [line.count("\n") for line in self.lines])

    def test_admin_port_refuses_with_the_same_code(self):
        self.serve_operators()
        reply = self.request("/status")
        self.assertEqual((500, 901), (reply.status, reply.value.get("code")))
        self.assertNotIn(SECRET.encode(), reply.data)
        self.assertEqual(1, self.count("app_errors", port="admin", kind="RuntimeError"))
        self.assertEqual(1, self.count("results", code="901", name="entry_error"))
        self.assertEqual(1, len(self.lines))

    def test_incomplete_plan_offer_is_a_malformed_request(self):
        self.serve_operators()
        headers = {"Transfer-Encoding": "chunked"}
        reply = self.request("/plan/offer", "POST", body=b"zz\r\n", headers=headers)
        self.assertEqual((400, 321), (reply.status, reply.value.get("code")))


if __name__ == "__main__":
    unittest.main()
