"""Decoding of valid and malformed rows and headers of the platform."""

import base64
import copy
import json
import re
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given
from hypothesis import strategies as st

from figfold.config.gateway_settings import load_gateway_settings
from figfold.core.traffic.configuration import Repeatability
from figfold.platform.decoding import decode_configuration, decode_row, decode_server
from figfold.platform.headers import (
    parse_answer_headers,
    parse_request_headers,
    refusal_headers,
    server_headers,
)
from figfold.platform.tables import read_operator_rows, read_server_rows
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
    return decode_row({"table": table, "key": key, "value": encoded, "ver": version}).unwrap()


class EntrySettingsTest(unittest.TestCase):
    BOUNDS = ("retryBudgetRatio", "retrySlack", "budgetWindowS", "graceS", "revokeS")

    def test_template_uses_every_bound_that_differs_between_deployments(self):
        template = (ROOT / "deploy" / "entry.ini").read_text(encoding="utf-8")
        for bound in self.BOUNDS:
            self.assertIn("{{bounds." + bound + "}}", template)

    def test_retry_ratio_is_read_in_the_form_that_the_platform_writes(self):
        template = (ROOT / "deploy" / "entry.ini").read_text(encoding="utf-8")
        text = template.replace("{{bounds.retryBudgetRatio}}", "0.15")
        text = text.replace("{{bounds.quotaOvershoot}}", "0.1")
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", "[place a]\nregion = r", text, flags=re.S)
        text = re.sub(r"\{\{[#/][^}]*\}\}\n", "", text)
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
        self.assertEqual(settings.unwrap().revocation_bound_s, 7.0)


class ServerRowTest(unittest.TestCase):
    def test_fields(self):
        record = decode_server("i-1", SERVER).unwrap()
        self.assertEqual((record.service, record.place, record.slots), ("stock", "bne-north", 3))
        self.assertFalse(record.is_leaving)
        self.assertEqual(record.started_ms, 1776317741377)

    def test_malformed_row_is_an_error(self):
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
                self.assertTrue(decode_server("i-1", item).is_err())

    def test_invalid_row_does_not_affect_others(self):
        good = row_of("servers", "i-1", SERVER)
        bad = decode_row({"table": "servers", "key": "i-2", "value": "%%%", "ver": 2}).unwrap()
        update = read_server_rows([good, bad])
        self.assertEqual([record.id for record in update.records], ["i-1"])
        self.assertEqual(update.unreadable_ids, ("i-2",))
        self.assertEqual(len(update.failures), 1)

    @given(JSON)
    def test_any_value_gives_a_record_or_a_failure(self, value):
        read = decode_server("i-1", value)
        self.assertTrue(read.is_err() or read.ok().id == "i-1")

    @given(JSON)
    def test_any_configuration_decodes_or_fails_without_raising(self, value):
        decode_configuration(value)
        decode_configuration({**CONFIGURATION, "routes": {"r": value}})

    def test_address_with_a_port_of_other_digits_is_a_failure(self):
        """A superscript digit passes ``isdigit`` and is refused by ``int``."""
        self.assertTrue(decode_server("i-1", SERVER | {"address": "h:\u00b2"}).is_err())


class ConfigurationRowTest(unittest.TestCase):
    def test_kind_determines_whether_requests_are_repeatable(self):
        routes = decode_configuration(CONFIGURATION).unwrap().route_by_name
        self.assertIs(routes["r-1"].repeatability, Repeatability.SAFE)
        self.assertIs(routes["r-2"].repeatability, Repeatability.AT_MOST_ONCE)
        self.assertTrue(routes["r-3"].is_repeatable and routes["r-3"].is_bulk)
        self.assertEqual(routes["r-1"].host, "jepu9.example")

    def test_unknown_kind_runs_at_most_once(self):
        value = copy.deepcopy(CONFIGURATION)
        value["routes"]["r-1"]["kind"] = "streamed"
        route = decode_configuration(value).unwrap().route_by_name["r-1"]
        self.assertFalse(route.is_repeatable)

    def test_evacuations_and_configuration_share_one_table(self):
        rows = [
            row_of("op", "config", CONFIGURATION),
            row_of("op", "evacuate/bne-north", {}),
            decode_row(
                {"table": "op", "key": "evacuate/tsv-port", "tombstone": True, "ver": 3}
            ).unwrap(),
        ]
        update = read_operator_rows(rows)
        self.assertEqual(update.configuration.version, 12)
        self.assertEqual(update.evacuation_by_place, {"bne-north": True, "tsv-port": False})

    def test_malformed_version_or_limits_are_a_failure(self):
        """The decoder must not raise, since the caller handles failures only."""
        cases = ({"version": "r\u00b2"}, {"limits": {"maxHeaderBytes": "x"}}, {"limits": ["x"]})
        for changed in cases:
            with self.subTest(**changed):
                self.assertTrue(decode_configuration(CONFIGURATION | changed).is_err())

    def test_invalid_configuration_is_reported_and_not_returned(self):
        update = read_operator_rows([row_of("op", "config", {"version": "12"})])
        self.assertIsNone(update.configuration)
        self.assertEqual(len(update.failures), 1)


class HeaderTest(unittest.TestCase):
    def headers(self, status, **headers):
        values = {name.replace("_", "-").lower(): value for name, value in headers.items()}
        return parse_answer_headers(status, lambda name: values.get(name.lower()), "a1")

    def test_complete_answer_to_the_request(self):
        headers = self.headers(200, Attempt_Id="a1", Response_Seal="x", Instance_Load="3,1,8,250")
        self.assertTrue(headers.matches_request and headers.is_intact and not headers.is_not_run)
        self.assertEqual(
            (headers.load.running, headers.load.waiting, headers.load.slots), (3, 1, 8)
        )
        self.assertEqual(headers.load.slowdown, 2.5)

    def test_answer_to_another_request_does_not_match(self):
        self.assertFalse(self.headers(200, Attempt_Id="a2", Response_Seal="x").matches_request)
        self.assertFalse(self.headers(200, Response_Seal="x").matches_request)

    def test_success_without_seal_or_with_encoding_is_not_intact(self):
        self.assertFalse(self.headers(200, Attempt_Id="a1").is_intact)
        headers = self.headers(200, Attempt_Id="a1", Response_Seal="x", Content_Encoding="gzip")
        self.assertFalse(headers.is_intact)

    def test_only_the_header_or_status_421_mean_not_run(self):
        self.assertFalse(self.headers(503, Attempt_Id="a1").is_not_run)
        self.assertTrue(self.headers(503, Attempt_Id="a1", Not_Executed="1").is_not_run)
        self.assertTrue(self.headers(421, Attempt_Id="a1").is_other_server)

    def test_answer_states_that_its_server_leaves(self):
        self.assertTrue(self.headers(200, Attempt_Id="a1", Server_Leaving="1").is_leaving)
        self.assertTrue(self.headers(503, Not_Executed="1", Server_Leaving=" 1 ").is_leaving)
        for value in ("0", "", "soon"):
            self.assertFalse(self.headers(200, Server_Leaving=value).is_leaving, value)
        self.assertFalse(self.headers(200).is_leaving)

    def test_answer_names_a_limit(self):
        for text, limit_per_s in (("4.4", 4.4), ("0", 0.0), ("12", 12.0)):
            headers = self.headers(200, Server_Limit=text)
            self.assertEqual((headers.rate_limit_per_s, headers.malformed), (limit_per_s, ()))
        self.assertIsNone(self.headers(200).rate_limit_per_s)
        for text in ("", "many", "-1", "nan", "inf", "4,4"):
            headers = self.headers(200, Server_Limit=text)
            self.assertEqual(
                (headers.rate_limit_per_s, headers.malformed), (None, ("Server-Limit",)), text
            )

    def test_only_a_rejection_asks_for_a_pause(self):
        self.assertEqual(self.headers(503, Retry_After="1.5").pause_s, 1.5)
        self.assertEqual(self.headers(503, Not_Executed="1", Retry_After="2").pause_s, 2.0)
        self.assertEqual(self.headers(503).pause_s, 0.0)
        for status in (200, 429, 500):
            self.assertEqual(self.headers(status, Retry_After="2").pause_s, 0.0, status)
        headers = self.headers(503, Retry_After="Sat, 05 Dec 2026 00:00:00 GMT")
        self.assertEqual((headers.pause_s, headers.malformed), (0.0, ("Retry-After",)))

    def test_request_headers(self):
        values = {"attempt-id": "a1", "deadline-ms": "2500", "affinity-key": "17"}
        headers = parse_request_headers(lambda name: values.get(name.lower()))
        self.assertEqual((headers.request_id, headers.time_left_s, headers.key), ("a1", 2.5, "17"))
        self.assertIsNone(parse_request_headers(lambda _name: "x").time_left_s)

    def test_headers_of_requests_to_servers_and_of_refusals(self):
        self.assertIn(("Deadline-Ms", "1234"), server_headers("i-1", 1.2349))
        self.assertEqual(refusal_headers(0.25), (("Retry-After", "0.250"),))
        self.assertEqual(refusal_headers(None), ())


if __name__ == "__main__":
    unittest.main()
