"""`figfold config check`: faults of a configuration file before it is stored."""

import json
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from copy import deepcopy
from io import StringIO
from pathlib import Path
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.traffic.configuration_check import find_contradictions, find_differences
from figfold.platform.decoding import (
    decode_configuration,
    decode_configuration_parts,
    replace_keys,
)
from figfold.platform.rows import RowStore
from figfold.ui.cli import run
from figfold.ui.output import ExitCode
from standins.rows import RowTables
from test.test_platform_adapter import SERVER
from test.test_ui_platform import InMemoryStoreHttp

KEY = "k-secret-1"
ROUTE = {
    "host": "h.example",
    "prefix": "/read/",
    "kind": "safe",
    "timeoutS": 3.0,
    "targetLatencyS": 0.6,
    "service": "stock",
    "maxAttempts": 1,
}
CONFIGURATION = {
    "version": "r7",
    "services": {"stock": {"coldPerS": 2.6}, "cut": {}},
    "routes": {"read": ROUTE, "book": ROUTE | {"prefix": "/book/", "kind": "non_idempotent"}},
    "tenants": {
        "north-co": {"apiKeys": [KEY], "ratePerS": 5, "burst": 10, "homeRegions": ["north"]},
        "south-co": {"apiKeys": ["k-secret-2"]},
    },
    "limits": {"maxHeaderBytes": 8192},
}
REGIONS = {"stock": frozenset({"north", "south"}), "cut": frozenset({"south"})}


def changed(**parts):
    """Return the configuration with fields of parts changed, such as ``routes={"read": {...}}``."""
    value = deepcopy(CONFIGURATION)
    for part, items in parts.items():
        for name, fields in items.items():
            value[part][name] = value[part].get(name, {}) | fields
    return value


def decode(value):
    return decode_configuration(value).unwrap()


class ContradictionsTest(unittest.TestCase):
    def find(self, value, regions_by_service=None):
        found = find_contradictions(decode(value), regions_by_service)
        self.assertTrue(all(one.code is Code.CONFIGURATION_CONTRADICTS for one in found))
        return [(one.field, one.message) for one in found]

    def check(self, value, part, *words, regions=None):
        """Check that there is exactly one contradiction, at a part and with these words."""
        ((found_part, message),) = self.find(value, regions)
        self.assertEqual(found_part, part)
        for word in words:
            self.assertIn(word, message)

    def test_sound_configuration_has_none(self):
        """Findings about sound parts would teach operators to pass over all of them."""
        self.assertEqual(self.find(CONFIGURATION), [])
        self.assertEqual(self.find(CONFIGURATION, REGIONS), [])

    def test_routes_that_can_never_match(self):
        """Requests of such a route go elsewhere, or are refused as of no route, without a word."""
        twice = changed(routes={"again": ROUTE | {"host": "H.Example"}})
        self.check(twice, "route again", "never matches", "route read")
        for fields, word in (
            ({"prefix": "read/"}, "begin with /"),
            ({"prefix": "/read?x"}, "query"),
            ({"host": "h.example:80"}, "port"),
        ):
            with self.subTest(fields=fields):
                self.check(changed(routes={"read": fields}), "route read", "never matches", word)

    def test_services_that_do_not_exist(self):
        """All requests of such a route are refused for lack of a server."""
        split = [{"service": "stock", "weight": 1}, {"service": "stok", "weight": 0}]
        self.check(changed(routes={"read": {"split": split}}), "route read", "'stok'", "not exist")

    def test_limits_that_contradict_each_other(self):
        """A target above the time limit, or a burst without a rate, never takes effect."""
        slow = changed(routes={"read": {"targetLatencyS": 3.5}})
        self.check(slow, "route read", "3.5 s", "3 s")
        self.check(changed(routes={"read": {"timeoutS": 0}}), "route read", "time limit of 0")
        idle = changed(tenants={"north-co": {"ratePerS": 0}})
        self.check(idle, "organisation north-co", "burst of 10")

    def test_homes_that_exclude_each_other(self):
        """All requests of the organisation on the route are refused."""
        value = changed(routes={"read": {"homeRegions": ["south"]}})
        self.check(value, "organisation north-co", "north", "south", "route read")

    def test_homes_without_servers(self):
        """Requests with such homes are refused while other regions are idle."""
        homes = changed(routes={"read": {"homeRegions": ["north"], "service": "cut"}})
        self.assertEqual(self.find(homes), [])
        self.check(homes, "route read", "service cut", "no servers", regions=REGIONS)
        holder = changed(routes={"read": {"service": "cut"}})
        self.check(holder, "organisation north-co", "cut", "route read", regions=REGIONS)
        unknown = changed(tenants={"south-co": {"homeRegions": ["south", "suoth"]}})
        self.check(unknown, "organisation south-co", "'suoth'", regions=REGIONS)
        without_weight = [{"service": "stock", "weight": 1}, {"service": "cut", "weight": 0}]
        fine = changed(routes={"read": {"homeRegions": ["north"], "split": without_weight}})
        self.assertEqual(self.find(fine, REGIONS), [])


class DifferencesTest(unittest.TestCase):
    def find(self, before, after):
        found = find_differences(decode(before), decode(after))
        return {(one.part, one.field): (one.before, one.after) for one in found}

    def test_same_content_has_none(self):
        """Neither the version, nor digests in place of keys, is a difference."""
        other = replace_keys(CONFIGURATION) | {"version": "r9"}
        self.assertEqual(self.find(CONFIGURATION, other), {})

    def test_changed_new_and_absent_parts(self):
        """A change that the list leaves out goes into force unseen."""
        after = changed(
            routes={
                "read": {"homeRegions": ["north"], "kind": "non_idempotent", "priority": 2},
                "new": ROUTE | {"prefix": "/new/"},
            },
            services={"stock": {"coldPerS": 1}},
            tenants={"south-co": {"apiKeys": ["k-secret-2", "k-secret-3"], "priority": 0}},
        )
        del after["routes"]["book"], after["services"]["cut"], after["limits"]["maxHeaderBytes"]
        expected = {
            ("route read", "home_regions"): ("-", "north"),
            ("route read", "repeatability"): ("safe", "at-most-once"),
            ("route read", "priority"): ("0", "2"),
            ("route new", ""): ("absent", "present"),
            ("route book", ""): ("present", "absent"),
            ("service stock", "cold_requests_per_s"): ("2.6", "1"),
            ("service cut", ""): ("present", "absent"),
            ("organisation south-co", "API keys"): ("1", "2 (1 new, 0 withdrawn)"),
            ("organisation south-co", "priority"): ("-", "0"),
            ("limits", "header_bytes"): ("8192", "16384"),
        }
        self.assertEqual(self.find(CONFIGURATION, after), expected)

    def test_need_for_keys_is_a_difference(self):
        """Without organisations, everybody may call every route."""
        after = {name: item for name, item in CONFIGURATION.items() if name != "tenants"}
        self.assertEqual(self.find(CONFIGURATION, after)["API keys", ""], ("needed", "not needed"))


class PartsTest(unittest.TestCase):
    def test_each_invalid_part_is_a_failure_and_the_others_are_decoded(self):
        """A check that stops at the first fault is run once for each of them."""
        value = changed(
            routes={
                "read": {"timeoutS": "3"},
                "empty": ROUTE | {"prefix": ""},
                "idle": ROUTE | {"split": [{"service": "stock", "weight": 0}]},
            },
            services={"cut": {"coldPerS": -1}},
            tenants={"bad co": {}},
        )
        configuration, failures = decode_configuration_parts(
            value | {"version": 7, "limits": {"maxBodyBytes": "x"}}
        )
        found = {one.field for one in failures if one.field}
        expected = {"route read", "route empty", "route idle", "service cut", "version", "limits"}
        self.assertEqual(found, expected)
        self.assertIn("bad co", "".join(one.message for one in failures if not one.field))
        self.assertTrue(all(one.code is Code.CONFIGURATION_BAD_VALUE for one in failures))
        self.assertEqual(list(configuration.route_by_name), ["book"])
        self.assertEqual(list(configuration.organisation_by_name), ["north-co", "south-co"])

    def test_valid_value_is_decoded_as_by_entries(self):
        """A check by other rules than those of the entries is worth nothing."""
        configuration, failures = decode_configuration_parts(CONFIGURATION)
        self.assertEqual((configuration, failures), (decode(CONFIGURATION), ()))

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(("version", "routes", "services", "tenants", "limits", "apiKeys")),
                inner,
                max_size=5,
            ),
        )
    )
    def test_any_object_is_checked_without_an_error(self, value):
        """Odd files must end in failures, not in a traceback."""
        if isinstance(value, dict):
            configuration, failures = decode_configuration_parts(value)
            self.assertEqual(decode_configuration(value).is_ok(), _is_whole(failures))
            find_contradictions(configuration, {})


def _is_whole(failures):
    """Return whether entries accept a configuration, without its invalid organisations."""
    return not any(one.field for one in failures)


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, value, name="new.json"):
        path = Path(self.folder.name) / name
        path.write_text(value if isinstance(value, str) else json.dumps(value), encoding="utf-8")
        return str(path)

    def run_check(self, *arguments):
        """Return exit code, output and error output of the command."""
        output, errors = StringIO(), StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            code = run(["config", "check", *arguments])
        return code, output.getvalue(), errors.getvalue()

    def test_sound_file_ends_with_0(self):
        """Scripts send the file only if the check ends with 0."""
        code, output, errors = self.run_check(self.write(CONFIGURATION))
        self.assertEqual((code, errors), (ExitCode.OK, ""))
        self.assertIn("no fault (version 7, 2 routes, 2 services, 2 organisations)", output)

    def test_faults_are_printed_with_their_place_and_end_with_1(self):
        """A fault without its route has to be searched for among hundreds."""
        value = changed(routes={"read": {"timeoutS": -1}, "book": {"targetLatencyS": 9}})
        path = self.write(value)
        code, output, errors = self.run_check(path)
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("2 faults", output)
        self.assertIn(f"{path}: E112 route read: timeoutS is out of range", errors)
        self.assertIn(f"{path}: E113 route book: the target latency", errors)

    def test_key_of_two_organisations_is_told_without_the_key(self):
        """The output goes to terminals, tickets and logs."""
        value = changed(tenants={"south-co": {"apiKeys": [KEY]}})
        for arguments in ((), ("--json",)):
            with self.subTest(arguments=arguments):
                before = self.write(CONFIGURATION, "old.json")
                found = self.run_check(self.write(value), "--in-force", before, *arguments)
                self.assertEqual(found[0], ExitCode.REFUSED)
                self.assertIn("north-co, south-co", "".join(found[1:]))
                self.assertNotIn("secret", "".join(found[1:]))

    def test_malformed_keys_are_not_shown(self):
        """What stands in place of the keys may be a key, whatever its form."""
        for keys in (KEY, {KEY: 1}, [KEY, 7], [[KEY]]):
            with self.subTest(keys=keys):
                text = json.dumps(changed(tenants={"south-co": {"apiKeys": keys}}))
                text = text.replace(f'{{"{KEY}": 1}}', f'{{"{KEY}": 1, "{KEY}": 2}}')
                found = self.run_check(self.write(text))
                self.assertEqual(found[0], ExitCode.REFUSED)
                self.assertNotIn("secret", "".join(found[1:]))

    def test_file_that_is_no_json_is_told_with_its_line(self):
        """A missing comma must not end in a traceback, or in a position without a line."""
        path = self.write('{\n"version": "r1",\n"routes": {,}}')
        code, _, errors = self.run_check(path)
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn(f"{path}:3: E111", errors)
        for path in (self.write("[]"), str(Path(self.folder.name) / "absent"), self.write("\xff")):
            code, _, errors = self.run_check(path)
            self.assertEqual(code, ExitCode.REFUSED)
            self.assertIn("E111", errors)

    def test_part_that_stands_twice_is_a_fault(self):
        """The last one counts for entries, and the first one is lost without a word."""
        text = json.dumps(CONFIGURATION).replace('"routes": {', '"routes": {"read": {}, ')
        code, _, errors = self.run_check(self.write(text))
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("E112 routes.read: it stands twice", errors)

    def test_differences_from_the_version_in_force(self):
        """The flag works with a dash too, and programs get the same differences as people."""
        before = self.write(CONFIGURATION, "old.json")
        after = changed(routes={"read": {"maxAttempts": 2}}) | {"version": "r8"}
        code, output, _ = self.run_check(self.write(after), "--in-force", before)
        self.assertEqual(code, ExitCode.OK)
        self.assertRegex(output, r"route read +max_attempts +1 +2")
        code, output, _ = self.run_check(self.write(after), "--in_force", before, "--json")
        value = json.loads(output)
        self.assertEqual((value["ok"], value["version"], value["in_force_version"]), (True, 8, 7))
        self.assertEqual(
            value["differences"],
            [{"part": "route read", "field": "max_attempts", "before": "1", "after": "2"}],
        )

    def test_version_that_would_not_come_into_force_is_a_fault(self):
        """Entries keep the version that they know; the change is stored and has no effect."""
        before = self.write(CONFIGURATION, "old.json")
        after = changed(routes={"read": {"maxAttempts": 2}})
        code, _, errors = self.run_check(self.write(after), "--in-force", before)
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("E113 version:", errors)
        self.assertEqual(self.run_check(before, "--in-force", before)[0], ExitCode.OK)

    def test_faults_in_force_do_not_fail_the_file(self):
        """A file that mends the faults in force must pass."""
        before = self.write(changed(routes={"read": {"timeoutS": -1}}), "old.json")
        after = self.write(CONFIGURATION | {"version": "r8"})
        code, output, errors = self.run_check(after, "--in-force", before)
        self.assertEqual((code, errors), (ExitCode.OK, ""))
        self.assertIn("version 7 in force has 1 fault;", output)

    def test_homes_are_compared_with_the_servers_of_the_store(self):
        """Homes name regions and servers data centres; the settings tell which belong together."""
        rows = RowTables()
        info = SERVER["info"] | {"service": "stock", "zone": "b"}
        rows.put("servers", "i-1", SERVER | {"info": info})
        settings = Path(self.folder.name) / "entry.ini"
        lines = ["[gateway]", "name = e", "place = a", "store_address = 127.0.0.1:1"]
        for number, port in enumerate(("caller", "ready", "lookup", "peer", "metrics"), 2):
            lines.append(f"{port}_address = 127.0.0.1:{number}")
        lines += ["[place a]", "region = north", "[place b]", "region = south"]
        settings.write_text("\n".join(lines), encoding="utf-8")
        store = RowStore(InMemoryStoreHttp(rows))
        with patch("figfold.ui.configurations.open_store", lambda _settings: store):
            path = self.write(CONFIGURATION)
            code, _, errors = self.run_check(path, "--settings", str(settings))
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("organisation north-co: home region 'north' has no servers", errors)

    def test_wrong_command_lines_have_no_effect(self):
        """A mistyped flag that is passed over would leave out the comparison."""
        path = self.write(CONFIGURATION)
        for arguments in ((), (path, "--inforce", path), (path, "--in-force"), (path, "x")):
            with self.subTest(arguments=arguments):
                self.assertEqual(self.run_check(*arguments)[0], ExitCode.USAGE)


if __name__ == "__main__":
    unittest.main()
