import base64
import http.client
import json
import socket
import unittest
from types import SimpleNamespace

import eventlet
from attrs import frozen

from bench.caller import Verdict, Work, classify_answer
from standins.answers import build_response_body, find_body_error
from standins.endpoint import Endpoint
from standins.http_socket import HttpRequest
from standins.links import Links
from standins.rows import HISTORY_ROWS, RowTables
from standins.store import InstanceList
from test.support import connect, exchange, start_standin, wait_until

CALL_TIMEOUT_S = 5
SERVER = {"name": "s1", "service": "stockview", "place": "bne-north", "mean_ms": 5, "sigma": 0}


# Errors raised for a reset connection or an incomplete response.
TRANSPORT_ERRORS = (ConnectionError, http.client.HTTPException)


class StandinCase(unittest.TestCase):
    """Starts stand-ins and connects to ``address``."""

    def start(self, name, **settings):
        process = start_standin(name, **settings)
        self.addCleanup(process.stop)
        return process

    def connect(self, timeout_s=CALL_TIMEOUT_S):
        connection = connect(self.address, timeout_s)
        self.addCleanup(connection.close)
        return connection


class BackendCase(StandinCase):
    def setUp(self):
        self.backend = self.start("backend", servers=[SERVER | self.settings()])
        self.address = self.backend.ready["servers"][0]["address"]

    def settings(self):
        return {"slots": 1, "queue": 0, "poison_down_ms": 50}

    def call(self, connection, path="/short/1", method="GET", body=None, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, names)
        answer = connection.getresponse()
        return answer, answer.read()

    def set_faults(self, **faults):
        self.backend.control("POST", "/faults", faults)

    def record(self):
        record = self.backend.control("GET", "/standin/record")
        return record, record["servers"]["s1"]


class BackendTest(BackendCase):
    def test_answer_names_its_request_and_runs_are_counted(self):
        connection = self.connect()
        headers = {"Figfold_Nonce": "n1", "Idempotency_Key": "k1"}
        _, body = self.call(connection, "/echo/a?b=1", "POST", b"cut 7", **headers)
        expected = {"path": "/echo/a?b=1", "method": "POST", "nonce": "n1", "key": "k1"}
        self.assertEqual("", find_body_error(body, expected))
        self.assertIn("nonce", find_body_error(body, {"nonce": "n2"}))
        self.assertTrue(find_body_error(body[:-1], expected))
        _, body = self.call(connection, "/bulk/3000000")
        self.assertEqual("", find_body_error(body, {"payload_bytes": 3000000}))
        record, server = self.record()
        self.assertEqual({"k1": 1}, record["runs_by_key"])
        self.assertEqual((2, 2, 1), (server["started"], server["completed"], server["connections"]))

    def test_request_beyond_the_slots_is_shed_and_not_run(self):
        first = self.connect()
        first.request("GET", "/long/1")
        self.wait_for(lambda server: server["in_progress"] == 1)
        answer, _ = self.call(self.connect())
        self.assertEqual((503, "1"), (answer.status, answer.getheader("Figfold-Shed")))
        first.getresponse().read()
        self.assertEqual(1, self.record()[1]["started"])

    def test_closed_connection_stops_the_run(self):
        connection = self.connect()
        connection.request("GET", "/long/1")
        self.wait_for(lambda server: server["in_progress"] == 1)
        connection.close()
        self.wait_for(lambda server: server["cancelled"] == 1)

    def test_deadline_stops_the_run(self):
        with self.assertRaises(ConnectionError):
            self.call(self.connect(), "/long/1", Figfold_Deadline_Ms="20")

    def wait_for(self, condition):
        wait_until(lambda: condition(self.record()[1]))

    def test_faulty_answers_are_never_whole(self):
        modes = ("reset_before_head", "reset_mid_head", "reset_after_body", "reset_after_run")
        modes += ("reset_mid_answer", "short_answer", "wrong_length", "random_bytes")
        for mode in modes:
            with self.subTest(mode=mode):
                self.set_faults(requests=[{"mode": mode, "count": 1}])
                with self.assertRaises(TRANSPORT_ERRORS):
                    self.call(self.connect(), "/bulk/100")
                self.assertEqual(200, self.call(self.connect())[0].status)
        _, server = self.record()
        self.assertEqual(dict.fromkeys(modes, 1), server["fault_hits"])
        # Five of the faults occur after a run has started; each one is followed by an intact run.
        self.assertEqual(5 + len(modes), server["started"])

    def test_silenced_connection_stays_silent_while_a_new_one_works(self):
        old = self.connect(timeout_s=0.2)
        self.call(old)
        self.set_faults(silence_connections=True)
        with self.assertRaises(TimeoutError):
            self.call(old)
        answer, _ = self.call(self.connect())
        self.assertEqual(200, answer.status)

    def test_frozen_server_answers_once_it_thaws(self):
        self.set_faults(freeze=True)
        connection = self.connect()
        connection.request("GET", "/short/1")
        self.assertEqual(0, self.record()[1]["started"])
        self.set_faults(freeze=False)
        self.assertEqual(200, connection.getresponse().status)

    def test_poison_crashes_the_server_for_a_while(self):
        other = self.connect()
        self.call(other)
        with self.assertRaises(ConnectionError):
            self.call(self.connect(), Figfold_Poison="1", Figfold_Nonce="p")
        with self.assertRaises(TRANSPORT_ERRORS):
            self.call(other)
        wait_until(self.is_up)
        self.assertEqual({"p": 1}, self.record()[0]["crashes_by_nonce"])

    def is_up(self):
        try:
            return self.call(self.connect())[0].status == 200
        except ConnectionRefusedError:
            return False

    def test_leaving_server_reports_it_and_counts_further_requests(self):
        self.set_faults(leaving=True, shed=True)
        _, body = self.call(self.connect(), "/health")
        self.assertEqual(b'{"state": "leaving"}', body)
        answer, _ = self.call(self.connect())
        self.assertEqual(503, answer.status)
        self.assertEqual(1, self.record()[1]["received_when_leaving"])

    def test_load_report_can_be_falsified(self):
        self.set_faults(load={"in_progress": 0, "slots": 99})
        _, body = self.call(self.connect(), "/load")
        self.assertEqual(b'{"in_progress": 0, "slots": 99}', body)


class ConnectionLimitTest(BackendCase):
    def settings(self):
        return {"connections": 1, "slots": 3}

    def test_connection_over_the_limit_is_refused(self):
        self.call(self.connect())
        with self.assertRaises(TRANSPORT_ERRORS):
            self.call(self.connect())
        self.assertEqual(1, self.record()[1]["refused_connections"])


class NetworkTest(StandinCase):
    def setUp(self):
        backend = self.start("backend", servers=[SERVER])
        self.network = self.start("network", regions={"bne": ["n", "s"], "tsv": ["t"]})
        target = backend.ready["servers"][0]["address"]
        path = {"from_place": "n", "to_place": "t", "target": target}
        self.address = self.network.control("POST", "/relay", path)["address"]

    def set_fault(self, mode):
        """Set a fault in the direction of the responses; without a mode, remove all faults."""
        faults = [{"from_place": "t", "to_place": "n", "mode": mode}] if mode else []
        self.network.control("POST", "/faults", {"faults": faults})

    def call(self, connection):
        connection.request("GET", "/bulk/200000")
        return find_body_error(connection.getresponse().read(), {"payload_bytes": 200000})

    def test_relay_forwards_everything_and_counts_it(self):
        self.assertEqual("", self.call(self.connect()))
        sizes = self.network.control("GET", "/counters")["bytes_by_link"]
        self.assertGreater(sizes["tsv/bne"], 200000)

    def test_cut_resets_and_refuses_until_it_ends(self):
        connection = self.connect()
        self.call(connection)
        self.set_fault("cut")
        for each in (connection, self.connect()):
            with self.assertRaises(TRANSPORT_ERRORS):
                self.call(each)
        self.set_fault(None)
        self.assertEqual("", self.call(self.connect()))

    def test_frozen_link_delays_bytes_and_delivers_them_later(self):
        self.set_fault("freeze")
        connection = self.connect(timeout_s=0.3)
        with self.assertRaises(TimeoutError):
            self.call(connection)
        waiting = self.connect()
        waiting.request("GET", "/bulk/1000")
        self.set_fault(None)
        self.assertEqual("", find_body_error(waiting.getresponse().read(), {"payload_bytes": 1000}))

    def test_silenced_connection_stays_silent_while_a_new_one_works(self):
        connection = self.connect(timeout_s=0.3)
        self.call(connection)
        self.network.control("POST", "/silence", {"from_place": "n"})
        with self.assertRaises(TimeoutError):
            self.call(connection)
        self.assertEqual("", self.call(self.connect()))


class LinksTest(unittest.TestCase):
    def make_links(self, **settings):
        regions = {"bne": ["n", "s"], "tsv": ["t"]}
        defaults = {"place_delay_ms": 3, "region_delay_ms": 55, "bits_per_s": 8, "seed": 1}
        return Links.from_config({"regions": regions} | defaults | settings)

    def test_delay_depends_on_the_places(self):
        links = self.make_links()
        delays = [links.delays.between("n", place) for place in ("n", "s", "t")]
        self.assertEqual([0, 0.003, 0.055], delays)

    def test_bytes_wait_for_those_before_them_on_the_link_of_two_regions(self):
        links = self.make_links()
        first, second = (links.schedule_transfer(5, "n", "t", "") for _ in range(2))
        # A byte takes one second on a link of 8 bits a second.
        self.assertAlmostEqual(5, second - first)


class InstanceListTest(unittest.TestCase):
    def test_readers_see_an_update_only_after_the_lag(self):
        instances = InstanceList(lag_s=3600)
        instances.update([{"name": "s1", "state": "live"}], immediate=True)
        instances.update([{"name": "s1", "state": "leaving"}])
        self.assertEqual("live", instances.visible_items()[0]["state"])
        self.assertEqual("leaving", instances.item_by_name["s1"]["state"])
        instances.update([{"name": "s1", "removed": True}], immediate=True)
        self.assertEqual([], instances.visible_items())


class PlatformListTest(unittest.TestCase):
    def test_addresses_of_other_places_lead_through_relays(self):
        network = start_standin("network")
        self.addCleanup(network.stop)
        control = network.ready["control_address"]
        platform = start_standin("platform", relay_control=control, list_lag_ms=0)
        self.addCleanup(platform.stop)
        with socket.create_server(("127.0.0.1", 0)) as unused:
            target = f"127.0.0.1:{unused.getsockname()[1]}"
        item = {"name": "s1", "role": "server", "place": "n", "state": "live", "address": target}
        platform.control("PUT", "/instances", {"instances": [item]})
        self.assertEqual(target, self.listed(platform, "n"))
        relayed = self.listed(platform, "t")
        self.assertNotEqual(target, relayed)
        self.assertEqual(relayed, self.listed(platform, "t"))

    def listed(self, platform, place):
        path = "/rows-get?table=instances&part="
        request = ("GET", path, None, {"Figfold-Place": place})
        _, body = exchange(platform.ready["address"], *request, timeout_s=CALL_TIMEOUT_S)
        item = json.loads(base64.b64decode(json.loads(body)["rows"][0]["value"]))
        return item["address"]


@frozen
class EntryAnswer:
    status: int
    header_by_name: dict

    def getheader(self, name, default):
        return self.header_by_name.get(name, default)


class AnswerClassificationTest(unittest.TestCase):
    """Classification of answers by the callers of the benchmarks."""

    WORK = Work("s", "POST", "/echo/1", b"cut", "k")
    RAN_HEAD = EntryAnswer(200, {"Figfold-Outcome": "ran", "Figfold-Code": "0"})

    def body(self, nonce="n", body=b"cut"):
        headers = {"idempotency-key": "k", "figfold-nonce": nonce}
        return build_response_body("s1", "s", HttpRequest("POST", "/echo/1", headers, body), "1")

    def test_only_the_whole_answer_to_the_request_is_right(self):
        self.assertEqual(
            Verdict.WHOLE, classify_answer(self.WORK, self.RAN_HEAD, self.body(), "n").verdict
        )
        for body in (self.body("other"), self.body(body=b"not"), self.body()[:-1], b""):
            self.assertEqual(
                Verdict.WRONG, classify_answer(self.WORK, self.RAN_HEAD, body, "n").verdict
            )

    def test_refusal_keeps_its_outcome_and_the_next_entries(self):
        answer = EntryAnswer(503, {"Figfold-Code": "306"})
        entries = [{"name": "e", "place": "p", "address": "a"}]
        for outcome, verdict in (("not-run", Verdict.NOT_RUN), ("unknown", Verdict.UNKNOWN)):
            body = json.dumps({"outcome": outcome, "entries": entries}).encode()
            attempt = classify_answer(self.WORK, answer, body, "n")
            self.assertEqual((verdict, 306), (attempt.verdict, attempt.code))
            self.assertEqual("e", attempt.targets[0].name)
        self.assertEqual(Verdict.WRONG, classify_answer(self.WORK, answer, b"{}", "n").verdict)


class CutRequestSocket:
    """Socket on which a request ends within its body."""

    def __init__(self):
        self.parts = [b"POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", b""]

    def recv(self, _size):
        return self.parts.pop(0)


class EndpointTest(unittest.TestCase):
    # The server read on without end and without giving other green threads a turn, so that a soak
    # of processes stood still when an entry was killed.
    def test_connection_that_ends_within_a_body_is_closed(self):
        endpoint = Endpoint("s", "stock", "north")
        self.assertFalse(endpoint._serve_request(CutRequestSocket()))
        self.assertFalse(endpoint.heads)


class RowFeedTest(unittest.TestCase):
    def setUp(self):
        self.rows = RowTables()
        self.rows.put("op", "config", 1)

    def feed(self, after):
        query = {"table": "op", "after": after, "waitMs": 20}
        return self.rows.answer("/rows-feed", query, b"")

    # The answer had no rows and the newest version, so that its reader skipped the change for good.
    def test_change_at_the_end_of_a_wait_is_not_lost(self):
        def change_and_wait():
            self.rows.put("op", "config", 2)
            eventlet.sleep(1.0)

        self.rows._changed = SimpleNamespace(wait=change_and_wait, send=lambda: None)
        status, value = self.feed(after=1)
        self.assertEqual((status, value["ver"]), (200, 2))
        self.assertEqual([row["ver"] for row in value["rows"]], [2])

    # Heartbeats of servers push a change of the configuration out of the history.
    def test_reader_that_is_behind_the_history_is_told(self):
        for number in range(HISTORY_ROWS):
            self.rows.put("servers", "s1", number)
        self.assertEqual(self.feed(after=0)[0], 410)
        self.assertEqual(self.feed(after=1)[0], 200)


if __name__ == "__main__":
    unittest.main()
