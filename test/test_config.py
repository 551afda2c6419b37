import shutil
import tempfile
import unittest
from configparser import ConfigParser
from configparser import Error as ConfigParserError
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from figfold.config.gateway_settings import load_gateway_settings
from figfold.config.ini_file import FILE_LIMIT_BYTES, read_ini
from figfold.config.options import read_defaults
from figfold.config.settings import load_settings
from figfold.core.addresses import parse_address
from figfold.core.codes import Code

ROOT = Path(__file__).resolve().parent.parent
ENTRY_TEXT = """
[include]
files = deployment.ini
[entry]
name = a1
place = bne-north
address = 127.0.0.1:8001
peer_address = 127.0.0.1:8002
admin_address = 127.0.0.1:8003
[platform]
url = http://127.0.0.1:7000/
"""
ENTRY_LINES = ENTRY_TEXT.split("\n")
# An example section of each kind that can occur several times, and a value that is invalid for
# options of every type.
SECTION_BY_KIND = {"region": "region bne", "place": "place tsv-port", "service": "service cutdesk"}
BAD_VALUE = "?:?"
LINES = [
    "[a]",
    "[b]",
    "[ a ]",
    "[a] b",
    "[c",
    "[]",
    "x = 1",
    " y=2",
    "x=",
    "=",
    "# c",
    "",
    "  z",
    " ;",
]
INI_TEXTS = st.text(alphabet="[]=#; \n\tab-", max_size=60) | st.lists(
    st.sampled_from(LINES), max_size=8
).map("\n".join)


GATEWAY_SETTINGS = """\
[gateway]
name = entry-1
place = bne-north
caller_address = 127.0.0.1:8000
ready_address = 127.0.0.1:8001
lookup_address = 127.0.0.1:8002
peer_address = 127.0.0.1:8003
metrics_address = 127.0.0.1:8004
store_address = 127.0.0.1:8005

[place bne-north]
region = bne
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        self.directory = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.directory)
        shutil.copy(ROOT / "examples/carrick.ini", self.directory / "deployment.ini")

    def write(self, text, name="entry.ini"):
        path = self.directory / name
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return path

    def load(self, overrides=(), text=ENTRY_TEXT):
        """Load the settings file of an entry."""
        return load_settings(self.write(text), overrides)

    def faults(self, text):
        """Return code, line and field of every fault of a settings file."""
        return [(one.code, one.line, one.field) for one in self.load(text=text).unwrap_err()]

    def test_examples_have_the_sizes_of_the_deployments(self):
        expected = {
            "carrick": ({"stockview": 16, "cutdesk": 12, "certvault": 12}, 360, 4 * 10**9),
            "bulwagan": ({"kalendaryo": 24, "reserba": 12, "kaso-docs": 12}, 390, 28 * 10**7),
        }
        for name, (endpoints, connections, bits_per_s) in expected.items():
            settings = load_settings(ROOT / f"examples/{name}.ini", required_sections=()).unwrap()
            services = settings.topology.service_by_name.values()
            found = {one.name: sum(one.endpoints_by_place.values()) for one in services}
            self.assertEqual(endpoints, found)
            self.assertEqual({(3, connections)}, {(one.slots, one.connections) for one in services})
            first, *_, last = settings.topology.region_by_name
            self.assertEqual(bits_per_s, settings.links.bits_per_s_between(first, last))

    def test_entry_file_includes_the_deployment(self):
        settings = self.load(["service cutdesk.slots=2"]).unwrap()
        self.assertEqual("127.0.0.1:8001", settings.entry.advertise_address)
        self.assertEqual("http://127.0.0.1:7000", settings.platform.url)
        self.assertEqual(2, settings.topology.service_by_name["cutdesk"].slots)
        self.assertEqual(5, settings.hedge.percent)

    def test_later_layers_take_precedence(self):
        text = ENTRY_TEXT + "[service cutdesk]\nslots = 4\n[link bne tsv]\nbits_per_s=7"
        settings = self.load(text=text).unwrap()
        self.assertEqual(4, settings.topology.service_by_name["cutdesk"].slots)
        self.assertEqual(7, settings.links.bits_per_s_between("tsv", "bne"))

    def test_all_faults_are_reported_at_once(self):
        text = ENTRY_TEXT.replace("a1", "").replace("place =", "plaec =") + "[hegde]\npercent = 5\n"
        text += "[queue]\nlimit = 1e3\n[lookup]\nttl_ms = 5 000\n"
        faults = self.faults(text)
        line = len(ENTRY_LINES)
        expected = {
            (Code.SETTINGS_UNKNOWN_SECTION, line, "hegde"),
            (Code.SETTINGS_UNKNOWN_OPTION, 6, "entry.plaec"),
            (Code.SETTINGS_MISSING, 5, "entry.name"),
            (Code.SETTINGS_MISSING, 4, "entry.place"),
            (Code.SETTINGS_BAD_VALUE, line + 3, "queue.limit"),
            (Code.SETTINGS_BAD_VALUE, line + 5, "lookup.ttl_ms"),
        }
        self.assertEqual(expected, set(faults))
        self.assertEqual(len(expected), len(faults))

    def test_nearest_name_is_suggested(self):
        loaded = self.load(text=ENTRY_TEXT.replace("bne-north", "bne-nroth"))
        self.assertEqual(["did you mean bne-north?"], [one.remedy for one in loaded.unwrap_err()])

    def test_syntax_errors_and_duplicates_have_lines(self):
        text = "x = 1\n[log]\nlevel = INFO\nlevel = DEBUG\nnonsense\n= 3\n[]\n[log]\nformat=text"
        syntax, duplicate = Code.SETTINGS_SYNTAX, Code.SETTINGS_DUPLICATE
        expected = {(syntax, 1), (syntax, 5), (syntax, 6), (syntax, 7)}
        expected |= {(duplicate, 4), (duplicate, 8)}
        self.assertEqual(expected, {(code, line) for code, line, _ in self.faults(text)})

    def test_unreadable_files_are_refused(self):
        cases = [(b"[log]\n\0", 2), (b"[log]\nlevel = \xff", 2), (b"#" * (FILE_LIMIT_BYTES + 1), 0)]
        for data, line in cases:
            self.assertEqual([(Code.SETTINGS_UNREADABLE, line, "")], self.faults(data))
        for path in (self.directory, self.directory / "absent.ini"):
            loaded = load_settings(path)
            self.assertEqual([Code.SETTINGS_UNREADABLE], [one.code for one in loaded.unwrap_err()])

    def test_faults_in_includes_name_the_right_file(self):
        self.write("[include]\nfiles = entry.ini\n[log]\nlevl = x\n", "deployment.ini")
        failures = self.load().unwrap_err()
        self.assertEqual([(str(self.directory / "deployment.ini"), 2)], _places(failures))
        self.write("[log]\nlevl = x\n", "deployment.ini")
        failures = self.load().unwrap_err()
        self.assertIn((str(self.directory / "deployment.ini"), 2), _places(failures))
        (self.directory / "deployment.ini").unlink()
        failures = self.load().unwrap_err()
        self.assertEqual([(str(self.directory / "entry.ini"), 3)], _places(failures))

    def test_cross_checks(self):
        cases = {
            "entry.place=nowhere": "entry.place",
            "entry.stop_grace_s=1": "entry.stop_grace_s",
            "place tsv-port.region=nowhere": "place tsv-port.region",
            "service cutdesk.endpoints=nowhere:1": "service cutdesk.endpoints",
            "service cutdesk.endpoints=bne-north:0": "service cutdesk.endpoints",
            "region mky.demand_percent=21": "region mky.demand_percent",
            "region mky.caller_blocks=10.1.2.0/24": "region mky.caller_blocks",
            "seats.short_renew_s=9": "seats.short_renew_s",
            "seats.long_renew_s=5399": "seats.long_renew_s",
            "plan.confirm_ttl_s=1": "plan.confirm_ttl_s",
            "peers.suspect_after_s=1": "peers.suspect_after_s",
            "link bne nowhere.bits_per_s=1": "link bne nowhere",
            "link bne bne.bits_per_s=1": "link bne bne",
            "platform.url=ftp://127.0.0.1": "platform.url",
        }
        for override, field in cases.items():
            with self.subTest(override):
                codes = [(one.code, one.field) for one in self.load([override]).unwrap_err()]
                self.assertIn((Code.SETTINGS_BAD_VALUE, field), codes)

    def test_callers_are_mapped_to_the_region_of_their_block(self):
        overrides = ["region bne.caller_blocks=10.0.0.0/9", "region mky.caller_blocks="]
        overrides.append("region tsv.caller_blocks=10.128.0.0/16 10.130.0.0/16")
        blocks = self.load(overrides).unwrap().topology.blocks
        expected = {"10.127.0.1": "bne", "10.128.0.1": "tsv", "10.129.0.1": None}
        expected |= {"10.130.255.255": "tsv", "10.131.0.0": None}
        self.assertEqual(expected, {caller: blocks.find_region(caller) for caller in expected})

    def test_every_bad_and_overlapping_block_is_reported(self):
        overrides = ["region bne.caller_blocks=10.0.0.0/8 10.0.0.0 10.0.0.1/8 x"]
        overrides += ["region tsv.caller_blocks=10.1.0.0/16 11.0.0.0/8"]
        overrides += ["region mky.caller_blocks=10.2.0.0/16 10.1.2.0/24"]
        failures = self.load(overrides).unwrap_err()
        self.assertEqual(
            [
                ("region bne.caller_blocks", "10.0.0.0"),
                ("region bne.caller_blocks", "10.0.0.1/8"),
                ("region bne.caller_blocks", "x"),
                ("region mky.caller_blocks", "10.1.2.0/24"),
                ("region mky.caller_blocks", "10.2.0.0/16"),
                ("region tsv.caller_blocks", "10.1.0.0/16"),
            ],
            sorted((one.field, one.message.split()[0]) for one in failures),
        )

    def test_every_option_is_read_and_checked(self):
        kinds = {**SECTION_BY_KIND, "link": "link bne tsv"}
        for kind, name in read_defaults():
            if kind == "include":
                continue
            section = kinds.get(kind.split()[0], kind)
            load = self.load_gateway if kind == "gateway" else self.load
            with self.subTest(section=section, name=name):
                loaded = load([f"{section}.{name}={BAD_VALUE}"])
                self.assertTrue(loaded.is_err())
                self.assertIn(f"{section}.{name}", [one.field for one in loaded.unwrap_err()])

    def test_defaults_are_valid(self):
        overrides = [
            f"{kind}.{name}={option.value}"
            for (kind, name), option in read_defaults().items()
            if kind.split()[0] not in ("include", "link", "links", *SECTION_BY_KIND)
            and option.value != "required"
        ]
        gateway = [one for one in overrides if one.startswith("gateway.")]
        others = [one for one in overrides if one not in gateway]
        self.assertEqual(self.load(), self.load(others))
        shared = [one for one in others if one.startswith(("peers.", "log."))]
        self.assertEqual(self.load_gateway(), self.load_gateway(gateway + shared))

    def load_gateway(self, overrides=()):
        path = self.write(GATEWAY_SETTINGS, "gateway.ini")
        return load_gateway_settings(path, overrides)

    def test_gateway_settings(self):
        settings = self.load_gateway().unwrap()
        self.assertEqual(settings.region, "bne")
        self.assertEqual(settings.retry_ratio, 0.2)
        loaded = self.load_gateway(["gateway.place=nowhere"])
        self.assertEqual([one.field for one in loaded.unwrap_err()], ["gateway.place"])
        loaded = load_gateway_settings(self.write("[log]\nlevel = INFO\n", "empty.ini"))
        self.assertEqual([one.field for one in loaded.unwrap_err()], ["gateway"])

    def test_malformed_overrides_are_refused(self):
        for override in ("hedge.percent", "percent=5", ".=1", "service cutdesk.slots=0"):
            self.assertTrue(self.load([override]).is_err(), override)

    @given(INI_TEXTS)
    def test_reader_agrees_with_configparser(self, text):
        path = self.write(text, "fuzz.ini")
        read = read_ini(path)
        if read.is_err():
            self.assertTrue(read.unwrap_err())
            return
        parser = ConfigParser(
            delimiters=("=",), interpolation=None, default_section="\0", empty_lines_in_values=False
        )
        parser.optionxform = str
        try:
            parser.read_string(text)
        except ConfigParserError as error:
            self.fail(f"accepted what configparser refuses: {error!r}")
        items = [
            (name, value.strip())
            for part in parser.sections()
            for name, value in parser.items(part)
        ]
        options = read.unwrap().option_by_key.values()
        self.assertEqual(items, [(option.name, option.value) for option in options])
        for option in options:
            self.assertTrue(text.split("\n")[option.line - 1].strip().startswith(option.name))

    @given(st.binary(max_size=200))
    def test_random_bytes_never_raise(self, data):
        for failure in load_settings(self.write(data, "fuzz.ini")).unwrap_err():
            self.assertTrue(100 < failure.code < 200)

    def test_address_is_an_ip_address_with_a_port(self):
        for text in ("10.0.0.1:80", "[::1]:80"):
            self.assertIsNotNone(parse_address(text), text)
        for text in ("host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "::1:80", "[::1]", ""):
            self.assertIsNone(parse_address(text), text)


def _places(failures):
    return [(failure.file, failure.line) for failure in failures]


if __name__ == "__main__":
    unittest.main()
