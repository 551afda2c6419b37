"""The platform's rows and headers, well formed and not, as the product's types."""

import base64
import copy
import json
import re
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given
from hypothesis import strategies as st

from figfold.config.gateway import load_gateway_settings
from figfold.core.traffic.configuration import RepeatPolicy
from figfold.platform.beliefs import read_operator_rows, read_server_rows
from figfold.platform.decoding import read_configuration, read_row, read_server
from figfold.platform.exchange import (
    read_answer_head,
    read_request_head,
    refusal_headers,
    server_headers,
)
from test.support import ROOT

SERVER = {
    "address": "10.128.0.9:8080",
    "born": 1776317741377,
    "info": {"service": "stock", "version": "v1", "zone": "bne-north", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 0},
}
CONFIGURATION = {
    "version": "r12",
    "routes": {
        "r-1": {
            "host": "Jepu9.example",
            "prefix": "/a/",
            "kind": "safe",
            "timeoutS": 2.5,
            "targetLatencyS": 0.6,
            "priority": 2,
            "split": [{"service": "stock", "weight": 90}, {"service": "cut", "weight": 10}],
            "maxAttempts": 2,
            "sticky": True,
            "homeRegions": [],
        },
        "r-2": {
            "host": "x.example",
            "prefix": "/b/",
            "kind": "non_idempotent",
            "timeoutS": 3,
            "service": "cut",
        },
        "r-3": {
            "host": "x.example",
            "prefix": "/c/",
            "kind": "download",
            "timeoutS": 3,
            "service": "cert",
        },
    },
    "services": {"stock": {"healthPath": "/health", "maxConnections": 360, "coldPerS": 2.6}},
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1024, "idleTimeoutS": 15},
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def row_of(table, key, value, version=1):
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    return read_row({"table": table, "key": key, "value": encoded, "ver": version})


class EntrySettingsTest(unittest.TestCase):
    BOUNDS = ("retryBudgetRatio", "retrySlack", "budgetWindowS", "graceS")

    def test_template_passes_every_bound_on_that_differs_between_deployments(self):
        template = (ROOT / "deploy" / "entry.ini").read_text(encoding="utf-8")
        for bound in self.BOUNDS:
            self.assertIn("{{bounds." + bound + "}}", template)

    def test_ratio_of_second_sends_is_taken_as_the_platform_writes_it(self):
        template = (ROOT / "deploy" / "entry.ini").read_text(encoding="utf-8")
        text = template.replace("{{bounds.retryBudgetRatio}}", "0.15")
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", "[place a]\nregion = r", text, flags=re.S)
        text = text.replace("{{zone}}", "a").replace("{{nodeName}}", "n")
        text = re.sub(r"= \{\{(listen|platform)[^}]*\}\}", "= 127.0.0.1:80", text)
        text = text.replace("{{ipAddress}}:{{internalPorts.0}}", "127.0.0.1:81")
        text = text.replace("{{ipAddress}}", "127.0.0.1")
        text = re.sub(r"\{\{[^}]*\}\}", "7", text)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "entry.ini"
            path.write_text(text, encoding="utf-8")
            settings = load_gateway_settings(path)
        self.assertTrue(settings.is_ok(), settings)
        self.assertEqual(settings.unwrap().retry_ratio, 0.15)


class ServerRowTest(unittest.TestCase):
    def test_fields(self):
        record = read_server("i-1", SERVER).unwrap()
        self.assertEqual((record.service, record.place, record.slots), ("stock", "bne-north", 3))
        self.assertFalse(record.is_leaving)
        self.assertEqual(record.started_ms, 1776317741377)

    def test_row_of_another_writer_names_no_server(self):
        for path, value in (
            (("address",), None),
            (("address",), "nowhere"),
            (("born",), 1.5),
            (("info", "service"), 7),
            (("info", "slots"), "3"),
            (("info", "slots"), True),
            (("status", "state"), "resting"),
            (("status", "coldRemainingS"), -1),
            (("status",), []),
        ):
            item = copy.deepcopy(SERVER)
            target = item
            for name in path[:-1]:
                target = target[name]
            target[path[-1]] = value
            with self.subTest(path=path, value=value):
                self.assertTrue(read_server("i-1", item).is_err())

    def test_unreadable_row_harms_no_other(self):
        good = row_of("servers", "i-1", SERVER)
        bad = read_row({"table": "servers", "key": "i-2", "value": "%%%", "ver": 2})
        news = read_server_rows([good, bad])
        self.assertEqual([record.id for record in news.records], ["i-1"])
        self.assertEqual(news.removed_ids, ("i-2",))
        self.assertEqual(len(news.failures), 1)

    @given(JSON)
    def test_any_value_is_a_record_or_a_failure(self, value):
        read = read_server("i-1", value)
        self.assertTrue(read.is_err() or read.ok().id == "i-1")

    @given(JSON)
    def test_any_configuration_is_one_or_a_failure(self, value):
        read_configuration(value)
        read_configuration({**CONFIGURATION, "routes": {"r": value}})


class ConfigurationRowTest(unittest.TestCase):
    def test_kinds_say_what_may_be_repeated(self):
        routes = read_configuration(CONFIGURATION).unwrap().route_by_name
        self.assertIs(routes["r-1"].repeat, RepeatPolicy.SAFE)
        self.assertIs(routes["r-2"].repeat, RepeatPolicy.AT_MOST_ONCE)
        self.assertTrue(routes["r-3"].is_repeatable and routes["r-3"].is_bulk)
        self.assertEqual(routes["r-1"].host, "jepu9.example")

    def test_unknown_kind_runs_at_most_once(self):
        value = copy.deepcopy(CONFIGURATION)
        value["routes"]["r-1"]["kind"] = "streamed"
        route = read_configuration(value).unwrap().route_by_name["r-1"]
        self.assertFalse(route.is_repeatable)

    def test_evacuations_and_configuration_come_in_one_table(self):
        rows = [
            row_of("op", "config", CONFIGURATION),
            row_of("op", "evacuate/bne-north", {}),
            read_row({"table": "op", "key": "evacuate/tsv-port", "tombstone": True, "ver": 3}),
        ]
        news = read_operator_rows(rows)
        self.assertEqual(news.configuration.version, 12)
        self.assertEqual(news.evacuation_by_place, {"bne-north": True, "tsv-port": False})

    def test_unreadable_configuration_is_reported_and_replaces_nothing(self):
        news = read_operator_rows([row_of("op", "config", {"version": "12"})])
        self.assertIsNone(news.configuration)
        self.assertEqual(len(news.failures), 1)


class HeaderTest(unittest.TestCase):
    def head(self, status, **headers):
        values = {name.replace("_", "-").lower(): value for name, value in headers.items()}
        return read_answer_head(status, lambda name: values.get(name.lower()), "a1")

    def test_own_whole_answer(self):
        head = self.head(200, Attempt_Id="a1", Response_Seal="x", Instance_Load="3,1,8,250")
        self.assertTrue(head.is_own and head.is_sound and not head.is_not_run)
        self.assertEqual((head.load.running, head.load.waiting, head.load.slots), (3, 1, 8))
        self.assertEqual(head.load.slowdown, 2.5)

    def test_answer_to_another_request_is_foreign(self):
        self.assertFalse(self.head(200, Attempt_Id="a2", Response_Seal="x").is_own)
        self.assertFalse(self.head(200, Response_Seal="x").is_own)

    def test_success_without_seal_or_with_encoding_is_unsound(self):
        self.assertFalse(self.head(200, Attempt_Id="a1").is_sound)
        head = self.head(200, Attempt_Id="a1", Response_Seal="x", Content_Encoding="gzip")
        self.assertFalse(head.is_sound)

    def test_only_the_promise_says_not_run(self):
        self.assertFalse(self.head(503, Attempt_Id="a1").is_not_run)
        self.assertTrue(self.head(503, Attempt_Id="a1", Not_Executed="1").is_not_run)
        self.assertTrue(self.head(421, Attempt_Id="a1").is_other_server)

    def test_request_head(self):
        values = {"attempt-id": "a1", "deadline-ms": "2500", "affinity-key": "17"}
        head = read_request_head(lambda name: values.get(name.lower()))
        self.assertEqual((head.request_id, head.time_left_s, head.key), ("a1", 2.5, "17"))
        self.assertIsNone(read_request_head(lambda _name: "x").time_left_s)

    def test_headers_that_are_sent(self):
        self.assertIn(("Deadline-Ms", "1234"), server_headers("i-1", 1.2349))
        self.assertEqual(refusal_headers(0.25), (("Retry-After", "0.250"),))
        self.assertEqual(refusal_headers(None), ())


if __name__ == "__main__":
    unittest.main()
