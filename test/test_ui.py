import io
import json
import subprocess
import sys
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from functools import partial
from pathlib import Path
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.model import Instance, Role, State
from figfold.core.plan import next_head
from figfold.platform.client import Row
from figfold.ui.admin_client import distribute_plan
from figfold.ui.cli import run
from figfold.ui.output import replace_control_characters
from figfold.ui.plans import format_time

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = str(ROOT / "examples/carrick.ini")
MORNING = str(ROOT / "examples/carrick-morning.csv")
SHIFT = str(ROOT / "examples/carrick-shift.csv")
PLATFORM = ("--settings", SETTINGS, "--platform", "http://127.0.0.1:9")
FIELDS = ("name", "reachable", "since_s", "cap", "s", "place", "service", "empty_from")
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(FIELDS), inner),
    max_leaves=8,
)
MEMBERS = ("name", "place", "leaving", "plan_version", "store", "entries", "services", "emptyings")
STATUSES = st.dictionaries(st.sampled_from(MEMBERS), JSON)
TIMEOUT = Failure(Code.STORE_TIMEOUT, "no answer")


class FakePlatform:
    """In-memory platform with the interface of `PlatformClient`.

    The next ``lost_answers`` writes take effect, but report a timeout.
    """

    def __init__(self):
        self.row = None
        self.object_by_name = {}
        self.instances = Ok(())
        self.lost_answers = 0
        self.is_down = False

    def get_row(self, table, row):
        if self.is_down:
            return Err(TIMEOUT)
        return Ok(self.row) if self.row else Err(Failure(Code.STORE_MISSING, "absent"))

    def put_row(self, table, row, value, if_match=None, if_absent=False):
        held = self.row.etag if self.row else None
        if if_match != held or if_absent != (held is None):
            return Err(Failure(Code.STORE_CONFLICT, "no match"))
        self.row = Row(table, row, value, f'"{len(value)}-{hash(value)}"')
        return self._answer(self.row.etag)

    def put_object(self, name, data):
        if self.is_down:
            return Err(TIMEOUT)
        self.object_by_name[name] = data
        return self._answer(None)

    def get_object(self, name):
        return Ok(self.object_by_name[name])

    def list_instances(self):
        return Err(TIMEOUT) if self.is_down else self.instances

    def _answer(self, value):
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(TIMEOUT)
        return Ok(value)


def entry(name, place="bne-north"):
    address = f"127.0.0.1:{len(name)}"
    return Instance(name, Role.ENTRY, place, State.LIVE, admin_address=address)


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.platform = FakePlatform()
        self.status_by_address = {}
        patches = (
            patch("figfold.ui.plan_store.PlatformClient.from_config", lambda **_: self.platform),
            patch("figfold.ui.admin_client._exchange", self.exchange),
        )
        for one in patches:
            one.start()
            self.addCleanup(one.stop)

    def exchange(self, address, _method, _path, _body):
        if address not in self.status_by_address:
            raise ConnectionRefusedError
        return Ok(self.status_by_address[address])

    def command(self, *arguments):
        """Run a command; return the exit code and what it printed."""
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            code = run([str(argument) for argument in arguments])
        return int(code), output.getvalue()

    def apply(self, sheet, operator, *more):
        return self.command("sheet", "apply", sheet, *PLATFORM, "--operator", operator, *more)

    def assert_result(self, exit_code, words, result):
        """Check the exit code of a command and that it printed some words."""
        code, text = result
        self.assertEqual(exit_code, code, text)
        for word in words:
            self.assertIn(word, text)

    def test_wrong_command_lines_have_no_effect(self):
        apply = ("sheet", "apply", MORNING, *PLATFORM)
        as_ann = (*apply, "--operator", "ann")
        lines = [
            (),
            ("sheet",),
            ("shet", "check"),
            apply,
            (*as_ann, "--bogus", "1"),
            (*as_ann, "extra"),
            (*apply, "--operator", " "),
            (*as_ann, "--expect", "x"),
            (*as_ann, "--wait_s", "nan"),
            (*as_ann, "--json", "maybe"),
            ("drain", "tsv-port", *PLATFORM, "--operator", "a", "--empty_from", "2027-01-01"),
            ("status",),
            ("status", "--entry", "nowhere"),
            ("explain", *PLATFORM, "--service", "nothing", "--caller", "c"),
            # A flag without a value, or with an empty one.
            (*apply, "--operator"),
            (*apply, "--operator", "--wait_s", "1"),
            (*as_ann, "--wait_s"),
            (*as_ann, "--expect="),
            (*as_ann, "--noexpect"),
            ("sheet", "check", "--file", "--settings", SETTINGS),
            ("sheet", "check", MORNING, "--settings"),
            # Names that Fire would resolve to members of its objects.
            (*as_ann, "run"),
            ("sheet", "check", MORNING, "--settings", SETTINGS, "__class__", "x"),
            ("clear",),
            ("sheet", "pop", "apply"),
        ]
        for line in lines:
            with self.subTest(line):
                code, text = self.command(*line)
                self.assertEqual((3, True), (code, "figfold: E801 " in text.splitlines()[-1]))
        self.assertIsNone(self.platform.row)

    def test_help_at_each_level(self):
        for line, word in (((), "drain"), (("sheet",), "apply"), (("sheet", "apply"), "operator")):
            self.assert_result(0, [word], self.command(*line, "--help"))

    def test_sheet_faults_are_listed_with_lines(self):
        faulty = Path(MORNING).read_text(encoding="utf-8").replace("serving", "sleeping")
        with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
            file.write(faulty)
            file.flush()
            code, text = self.command("sheet", "check", file.name, "--settings", SETTINGS)
        lines = text.splitlines()
        self.assertEqual((1, 18), (code, len(lines)))
        self.assertIn(f"{file.name}:2: E212 state", lines[0])

    def test_apply_twice_is_one_plan(self):
        self.assertEqual(0, self.apply(MORNING, "007")[0])
        code, text = self.apply(MORNING, "bob", "--json")
        value = json.loads(text)
        self.assertEqual((0, 1, "007"), (code, value["version"], value["operator"]))
        self.assertEqual("already-in-force", value["verdict"])
        self.assertIn("1 by 007", self.apply(MORNING, "bob")[1])

    def test_apply_succeeds_when_answers_to_writes_are_lost(self):
        self.platform.lost_answers = 2
        self.assert_result(0, ["accepted as version 1"], self.apply(MORNING, "ann"))

    def test_apply_is_refused_when_another_version_is_in_force(self):
        self.apply(MORNING, "ann")
        refused = self.apply(SHIFT, "bob", "--expect", "0")
        self.assert_result(1, ["E221", "version 1 by ann"], refused)

    def test_store_outage_applies_nothing(self):
        self.platform.is_down = True
        code, text = self.apply(MORNING, "ann", "--json")
        self.assertEqual((2, False), (code, json.loads(text)["ok"]))
        self.assertEqual(2, self.command("plan", "show", *PLATFORM)[0])
        self.assert_result(2, ["--entry"], self.command("status", *PLATFORM))

    def test_entries_without_the_plan_are_listed(self):
        self.platform.instances = Ok((entry("e1"),))
        self.assert_result(4, ["E223", "e1"], self.apply(MORNING, "ann", "--wait_s", "0"))
        with patch.object(self.platform, "list_instances", lambda: Err(TIMEOUT)):
            self.assert_result(
                4,
                ["cannot tell which entries have the plan"],
                self.apply(MORNING, "ann", "--wait_s", "0"),
            )

    def test_drain_and_undo_are_new_versions(self):
        self.assertEqual(1, self.command("plan", "show", *PLATFORM)[0])
        self.apply(MORNING, "ann")
        drain = ("drain", "tsv-port", *PLATFORM, "--operator", "ann")
        until = ("--empty_until", "2027-01-01T00:00:00+10:00")
        self.assertEqual(0, self.command(*drain, *until)[0])
        self.assertIn("2026-12-31T14:00:00Z", self.command("plan", "show", *PLATFORM)[1])
        _, text = self.command("plan", "diff", MORNING, *PLATFORM, "--json")
        self.assertEqual({"tsv-port"}, {one["place"] for one in json.loads(text)["changes"]})
        self.assertEqual(0, self.command(*drain, "--undo")[0])
        self.assertEqual(1, self.command(*drain, "--undo")[0])
        self.assertIn("no difference", self.command("plan", "diff", MORNING, *PLATFORM)[1])
        _, text = self.command("plan", "history", *PLATFORM, "--json")
        self.assertEqual([3, 2, 1], [one["version"] for one in json.loads(text)["plans"]])
        self.assertEqual(0, self.command("plan", "show", *PLATFORM, "--version", 2)[0])

    def history(self):
        _, text = self.command("plan", "history", *PLATFORM, "--json")
        return [(one["version"], one["digest"]) for one in json.loads(text)["plans"]]

    def test_restore_is_a_new_version_with_earlier_content(self):
        self.apply(MORNING, "ann")
        self.apply(SHIFT, "ann")
        restore = ("plan", "restore", *PLATFORM, "--operator", "bob", "--version")
        for version, exit_code, words in (
            (1, 0, "accepted as version 3"),
            (1, 0, "already in force as version 3 by bob"),
            (9, 1, "E804 version 9 is not in the history"),
        ):
            self.assert_result(exit_code, [words], self.command(*restore, version))
        third, second, first = self.history()
        self.assertEqual((3, first[1]), third)
        self.assertIn("no difference", self.command("plan", "diff", MORNING, *PLATFORM)[1])
        # A plan that is accepted during the restore is not overwritten.
        get_object = self.platform.get_object

        def get_late(name):
            with patch.object(self.platform, "get_object", get_object):
                self.apply(SHIFT, "eve")
            return get_object(name)

        with patch.object(self.platform, "get_object", get_late):
            self.assert_result(1, ["E221", "version 4 by eve"], self.command(*restore, 1))
        self.assertEqual((4, second[1]), self.history()[0])

    def test_restore_is_refused_when_the_settings_no_longer_allow_it(self):
        self.apply(MORNING, "ann")
        self.apply(SHIFT, "ann")
        text = Path(SETTINGS).read_text(encoding="utf-8")
        cases = {
            "E210 cap: bne-north bears": text.replace("slots = 3", "slots = 1"),
            "E204 place: unknown place bne-north": text.replace("bne-north", "bne-east"),
            "E208 no row for stockview at bne-east": text.replace("bne-north", "bne-east"),
        }
        for words, settings in cases.items():
            with self.subTest(words), tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
                file.write(settings)
                file.flush()
                line = ("--settings", file.name, "--platform", "http://127.0.0.1:9")
                restore = ("plan", "restore", *line, "--operator", "bob", "--version", 1)
                self.assert_result(1, [f"version 1: {words}"], self.command(*restore))
        self.assertEqual(2, self.history()[0][0])

    def test_status_sums_loads_of_a_place(self):
        self.platform.instances = Ok((entry("e1"), entry("e22")))
        load = {"in_progress": 2, "queued": 1, "quota": 3, "cap": 6}
        for address in ("127.0.0.1:2", "127.0.0.1:3"):
            status = {"plan_version": 1, "plan_confirmed": True, "services": {"cutdesk": load}}
            self.status_by_address[address] = status | {"store": {"reachable": None}}
        code, text = self.command("status", *PLATFORM, "--json")
        place = json.loads(text)["places"][0]
        expected = {"in_progress": 4, "queued": 2, "quota": 6, "cap": 6}
        self.assertEqual((0, expected), (code, {name: place[name] for name in expected}))
        self.status_by_address["127.0.0.1:3"]["plan_version"] = 2
        self.assertEqual(4, self.command("status", *PLATFORM)[0])
        del self.status_by_address["127.0.0.1:3"]
        self.assertEqual(2, self.command("status", *PLATFORM)[0])

    def test_status_from_an_entry_alone(self):
        known = [{"name": "e22", "place": "p", "admin_address": "127.0.0.1:3"}, None, {}]
        self.status_by_address["127.0.0.1:2"] = {"name": "e1", "place": "p", "entries": known}
        self.status_by_address["127.0.0.1:3"] = {"name": "e22", "place": "p", "leaving": True}
        self.assert_result(0, ["e22", "leaving"], self.command("status", "--entry", "127.0.0.1:2"))

    def test_status_shows_the_emptyings_of_the_latest_plan(self):
        self.platform.instances = Ok((entry("e1"), entry("e22")))
        window = {"place": "tsv-port", "empty_from": None, "empty_until": 1893456000}
        later = {"place": "bne-north", "service": "cutdesk", "empty_from": 1893456000}
        items = [window | {"service": name, "is_emptying": True} for name in ("stock", "cutdesk")]
        items += [None, {"place": "x"}, later | {"empty_until": None, "is_emptying": False}]
        items.append(window | {"service": "x", "empty_from": "soon", "is_emptying": True})
        stale = [window | {"place": "stale-place", "service": "s", "is_emptying": True}]
        for address, version, found in (("127.0.0.1:2", 1, stale), ("127.0.0.1:3", 2, items)):
            status = {"plan_version": version, "emptyings": found}
            self.status_by_address[address] = status
        _, text = self.command("status", *PLATFORM)
        table = [line.split("  ") for line in text.split("\n\n")[1].splitlines()]
        cells = [[cell.strip() for cell in line if cell] for line in table]
        self.assertEqual(["place", "services", "state", "from", "until"], cells[0])
        self.assertEqual(["bne-north", "cutdesk", "planned", "2030-01-01T00:00:00Z", "-"], cells[1])
        emptying = ["tsv-port", "cutdesk, stock, x", "emptying", "-", "2030-01-01T00:00:00Z"]
        self.assertEqual(emptying, cells[2])
        self.assertNotIn("stale-place", text)
        value = json.loads(self.command("status", *PLATFORM, "--json")[1])
        services = [one["services"] for one in value["emptyings"]]
        self.assertEqual([["cutdesk"], ["cutdesk", "stock", "x"]], services)

    @given(STATUSES)
    def test_any_status_can_be_shown(self, status):
        self.platform.instances = Ok((entry("e1"),))
        self.status_by_address["127.0.0.1:2"] = status
        for line in (PLATFORM, ("--entry", "127.0.0.1:2")):
            for more in ((), ("--json",)):
                self.assertIn(self.command("status", *line, *more)[0], (0, 2, 4))

    def test_explain_names_the_place_and_its_entries(self):
        self.apply(MORNING, "ann")
        self.platform.instances = Ok((entry("e1"), entry("e22", "tsv-port")))
        line = ("explain", *PLATFORM, "--service", "cutdesk", "--caller", "10.2.0.1")
        code, text = self.command(*line, "--json")
        value = json.loads(text)
        self.assertEqual((0, "tsv"), (code, value["region"]))
        self.assertEqual(value["chosen"][0], value["entries"][0]["place"])
        self.assertIn("of region mky", self.command(*line, "--region", "mky")[1])


class DistributePlanTest(unittest.TestCase):
    head = next_head(next_head(None, "0" * 64, "eve", 1), "a" * 64, "ann", 2)

    def distribute(self, statuses, lists, wait_s=10):
        """Distribute a plan to fake entries, each with its successive statuses."""
        lists = iter(lists)
        turn_by_address = {address: iter(turns) for address, turns in statuses.items()}

        def send(address, method, path):
            if method == "POST":
                return Ok({})
            turn = next(turn_by_address[address])
            return Ok(turn) if turn else Err(Failure(Code.ENTRY_UNREACHABLE, "down"))

        clock = partial(next, iter(range(1000)))
        return distribute_plan(self.head, partial(next, lists), wait_s, send, clock, lambda _: None)

    def test_waits_until_all_entries_have_it(self):
        expected = {"plan_version": 2, "plan_digest": self.head.digest}
        turns = [None, {"plan_version": 1}, {"plan_version": True}, {}, expected]
        lists = [Ok((entry("e1"), entry("gone"))), Err(TIMEOUT), Ok((entry("e1"),))]
        lists += [Ok((entry("e1"), entry("e22")))] * 3
        later = [{"plan_version": 3, "plan_digest": "c" * 64}]
        statuses = {"127.0.0.1:2": turns, "127.0.0.1:4": [{}] * 9, "127.0.0.1:3": later}
        plans = self.distribute(statuses, lists).unwrap()
        self.assertEqual([("e1", 2), ("e22", 3)], [(one.name, one.version) for one in plans])
        self.assertEqual({""}, {one.problem for one in plans})

    def test_another_plan_of_the_same_version_is_a_problem(self):
        turns = [{"plan_version": 2, "plan_digest": "c" * 64}] * 20
        plans = self.distribute({"127.0.0.1:2": turns}, [Ok((entry("e1"),))] * 20).unwrap()
        self.assertIn("another plan", plans[0].problem)

    def test_unknown_list_is_a_failure(self):
        self.assertTrue(self.distribute({}, [Err(TIMEOUT)] * 20).is_err())


class OutputTest(unittest.TestCase):
    def test_control_characters_do_not_reach_the_terminal(self):
        self.assertEqual("a\N{REPLACEMENT CHARACTER}[31m", replace_control_characters("a\x1b[31m"))

    def test_times_out_of_the_range_of_dates_are_printed_as_numbers(self):
        for moment in (-1e11, 1e18):
            self.assertEqual(f"{moment:.0f}", format_time(moment))

    def test_program_prints_only_its_report(self):
        command = [sys.executable, "-m", "figfold.ui.main", "sheet", "check", MORNING]
        child = subprocess.run(
            [*command, "--settings", SETTINGS], cwd=ROOT, capture_output=True, text=True
        )
        expected = (0, f"{MORNING}: no fault (18 rows)\n", "")
        self.assertEqual(expected, (child.returncode, child.stdout, child.stderr))


if __name__ == "__main__":
    unittest.main()
