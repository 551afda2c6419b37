import unittest
from pathlib import Path

from attrs import astuple
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.model import FULL_SHARE, Place, PlanRow, Region, Service, Topology
from figfold.core.sheet import COLUMNS, SHEET_LIMIT_BYTES, read_sheet
from figfold.core.sheet_values import read_cap, read_number, read_share

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
CARRICK = {"bne": "north south", "tsv": "port bohle", "mky": "paget harbour"}
BULWAGAN = {"luzon": "makati clark", "visayas": "cebu iloilo", "mindanao": "davao cdo"}
TWO_EACH = [2] * 6


def make_topology(places_by_region, endpoints_by_service, demands=(37.5, 37.5, 25.0)):
    places = [
        (f"{region}-{name}", region)
        for region, names in places_by_region.items()
        for name in names.split()
    ]
    return Topology(
        {name: Region(name, part) for name, part in zip(places_by_region, demands, strict=True)},
        {place: Place(place, region) for place, region in places},
        {
            name: Service(name, {place: n for (place, _), n in zip(places, counts, strict=True)})
            for name, counts in endpoints_by_service.items()
        },
    )


def carrick():
    endpoints = {"stockview": [3, 3, 3, 3, 2, 2], "cutdesk": TWO_EACH, "certvault": TWO_EACH}
    return make_topology(CARRICK, endpoints)


def bulwagan():
    endpoints = {"kalendaryo": [4] * 6, "reserba": TWO_EACH, "kaso-docs": TWO_EACH}
    return make_topology(BULWAGAN, endpoints, (60, 25, 15))


SMALL = make_topology({"bne": "north south"}, {"stockview": [3, 2]}, (100,))
SMALL_ROWS = [
    ["stockview", "bne-north", "60", "9", "serving", "", ""],
    ["stockview", "bne-south", "40", "6", "emptying", "2026-05-01T06:00Z", "2026-05-01T08:00Z"],
]


def encode_sheet(rows, separator=",", newline="\n", columns=COLUMNS, end=None):
    """Return the bytes of a sheet with these rows, whose cells are in the order of ``COLUMNS``."""
    order = [COLUMNS.index(column) for column in columns]
    lines = [list(columns), *([row[at] for at in order] for row in rows)]
    lines.append(["end", str(len(rows)) if end is None else end])

    def quote(cell):
        return f'"{cell}"' if separator in cell else cell

    text = newline.join(separator.join(quote(cell) for cell in line) for line in lines)
    return (text + newline).encode()


def read_small_sheet(line=None, column=None, value=None, **options):
    rows = [list(row) for row in SMALL_ROWS]
    if column:
        rows[line][COLUMNS.index(column)] = value
    return read_sheet(encode_sheet(rows, **options), "s.csv", SMALL)


def failure_codes(read):
    """Return the codes of all failures of a refused sheet, in order."""
    return [failure.code for failure in read.unwrap_err()]


@st.composite
def valid_sheets(draw):
    """Return the bytes of a valid sheet and the values of its rows."""
    topology = carrick()
    lines, expected = [], []
    for service in topology.service_by_name.values():
        cuts = sorted(draw(st.lists(st.integers(0, FULL_SHARE), min_size=5, max_size=5)))
        shares = [b - a for a, b in zip([0, *cuts], [*cuts, FULL_SHARE], strict=True)]
        largest = shares.index(max(shares))
        for at, (place, share) in enumerate(zip(topology.place_by_name, shares, strict=True)):
            cap = draw(st.integers(1, service.endpoints_by_place[place] * service.slots))
            emptying = at != largest and draw(st.booleans())
            start = draw(st.none() | st.integers(0, 10**9)) if emptying else None
            point = draw(st.sampled_from(".,"))
            mark = draw(st.sampled_from(["", "%", " %", "\u00a0%"]))
            text = f"{share // 100}{point}{share % 100:02}{mark}"
            time = "" if start is None else f"{start // 10**8 + 2000}-05-01T06:00:00+10:00"
            state = draw(st.sampled_from(["emptying", "Emptying "] if emptying else ["serving"]))
            lines.append([service.name, place, text, f" {cap}", state, time, ""])
            expected.append((service.name, place, share, cap, emptying, bool(time)))
    columns = draw(st.permutations(COLUMNS))
    separator, newline = draw(st.sampled_from(",;\t")), draw(st.sampled_from(["\n", "\r\n"]))
    data = encode_sheet(lines, separator, newline, columns)
    return draw(st.sampled_from([b"", b"\xef\xbb\xbf"])) + data, expected


class AcceptedSheetTest(unittest.TestCase):
    @given(valid_sheets())
    def test_every_notation_of_a_valid_sheet_is_read(self, sheet):
        data, expected = sheet
        rows = read_sheet(data, "s.csv", carrick()).unwrap()
        found = [astuple(row)[:5] + (row.empty_from is not None,) for row in rows]
        self.assertEqual(expected, found)

    def test_examples(self):
        for topology, name in ((carrick(), "carrick"), (bulwagan(), "bulwagan")):
            for kind in ("morning", "shift", "drain"):
                data = (EXAMPLES / f"{name}-{kind}.csv").read_bytes()
                rows = read_sheet(data, name, topology).unwrap()
                self.assertEqual(18, len(rows))
                self.assertEqual(3 if kind == "drain" else 0, sum(row.emptying for row in rows))

    def test_times_become_unix_time(self):
        rows = read_small_sheet().unwrap()
        self.assertEqual(1777615200.0, rows[1].empty_from)
        self.assertEqual(1777622400.0, rows[1].empty_until)
        self.assertEqual(PlanRow("stockview", "bne-north", 6000, 9), rows[0])

    def test_blank_rows_and_padded_end_row(self):
        data = encode_sheet(SMALL_ROWS).replace(b"end,2\n", b",,,,,,\nend,2,,,,,\n,,,,,,\n")
        self.assertTrue(read_sheet(data, "s.csv", SMALL).is_ok())


class RefusedSheetTest(unittest.TestCase):
    BAD_CELLS = {
        "service": {"stokview": 204, "": 204, "#REF!": 207},
        "place": {"bne-norht": 204, "bne": 204, "#N/A": 207},
        "share_percent": {
            **dict.fromkeys(
                ["", "-60", "nan", "inf", "6e1", "60%%", "60.000", "60.001", "60.0001"], 206
            ),
            **dict.fromkeys(["100.01", "1.2.3", "\u0666\u0660", "=6*10", "1 0000"], 206),
            **dict.fromkeys(["#DIV/0!", "#VALUE!", "#NAME?", "Err:502", "####"], 207),
            **dict.fromkeys(["59.99", "0.6", "6", "100"], 209),
        },
        "cap": {
            **dict.fromkeys(["", "-1", "2.5", "9%", "1,000", "1.000", "x", "9" * 40], 206),
            **dict.fromkeys(["10", "0", "1 000", "1,000,000", "1.000,00"], 210),
        },
        "state": {"": 212, "drained": 212, "#N/A": 207},
        "empty_from": dict.fromkeys(["6:00", "2026-05-01T06:00", "2026-13-01T06:00Z"], 211),
        "empty_until": dict.fromkeys(["2026-05-01T06:00Z", "soon"], 211),
    }

    def test_every_bad_cell_is_refused_with_its_line_and_column(self):
        for column, code_by_value in self.BAD_CELLS.items():
            line = 1 if column.startswith("empty") else 0
            for value, code in code_by_value.items():
                with self.subTest(column=column, value=value):
                    failures = read_small_sheet(line, column, value).unwrap_err()
                    found = [failure for failure in failures if int(failure.code) == code]
                    self.assertTrue(found, failures)
                    self.assertEqual(("s.csv", column), (found[0].file, found[0].field))
                    self.assertTrue(found[0].line and found[0].remedy)
                    if code != 209:
                        self.assertEqual(line + 2, found[0].line)

    def test_time_order_and_state(self):
        late = read_small_sheet(1, "empty_from", "2026-05-01T08:00Z")
        self.assertEqual([Code.SHEET_BAD_TIME], failure_codes(late))
        self.assertEqual(
            [Code.SHEET_BAD_TIME] * 2, failure_codes(read_small_sheet(1, "state", "serving"))
        )

    def test_some_place_must_serve_at_any_time(self):
        self.assertEqual(
            [Code.SHEET_CAP_UNBEARABLE], failure_codes(read_small_sheet(0, "state", "emptying"))
        )
        rows = [list(row) for row in SMALL_ROWS]
        rows[0][4:] = ["emptying", "2026-05-01T08:00Z", "2026-05-01T09:00Z"]
        self.assertTrue(read_sheet(encode_sheet(rows), "s.csv", SMALL).is_ok())
        rows[0][5] = "2026-05-01T07:59Z"
        self.assertTrue(read_sheet(encode_sheet(rows), "s.csv", SMALL).is_err())

    def test_missing_duplicate_and_malformed_rows(self):
        first, second = SMALL_ROWS
        cases = [([first], {208}), ([first, second, second], {205}), ([first, first], {205, 208})]
        cases.append(([first, second[:2] + ["4"] + second[2:]], {209, 212}))
        for rows, expected in cases:
            found = failure_codes(read_sheet(encode_sheet(rows), "s.csv", SMALL))
            self.assertLessEqual(expected, set(found))
        data = encode_sheet(SMALL_ROWS).replace(b",60,", b",60,5,")
        self.assertIn(Code.SHEET_COLUMN_COUNT, failure_codes(read_sheet(data, "s", SMALL)))

    def test_header_and_whole_file(self):
        data = encode_sheet(SMALL_ROWS)
        changes = "cap>caps>202 cap>cap,cap>202 end,2>end,3>203 end,2>end,>203 end,2>>203"
        changes += ' end,2>end,2x>203 end,2>end,#REF!>207 60>\xff>201 60>"60>201'
        cases = [(b"", 202), (data + b" " * SHEET_LIMIT_BYTES, 213), (data + b"end,2\n", 203)]
        cases.append((data + b"stockview,bne-north,0,0,serving,,\n", 203))
        for old, new, code in (change.split(">") for change in changes.split()):
            cases.append((data.replace(old.encode(), new.encode("latin-1")), int(code)))
        for content, code in cases:
            with self.subTest(content=content[:200]):
                self.assertIn(code, failure_codes(read_sheet(content, "s.csv", SMALL)))

    def test_all_failures_are_reported_at_once(self):
        rows = [list(row) for row in SMALL_ROWS]
        rows[0][2:5] = ["#REF!", "99", "off"]
        rows[1][1] = "bne-suoth"
        failures = read_sheet(encode_sheet(rows, end="7"), "s.csv", SMALL).unwrap_err()
        found = {int(failure.code) for failure in failures}
        self.assertEqual({203, 204, 207, 208, 210, 212}, found)
        self.assertIn(
            "99.5 %", read_small_sheet(0, "share_percent", "59.5").unwrap_err()[0].message
        )
        unknown = next(failure for failure in failures if int(failure.code) == 204)
        self.assertEqual("did you mean bne-south?", unknown.remedy)
        self.assertEqual((3, "place", "bne-suoth"), (unknown.line, unknown.field, unknown.value))


class DamagedSheetTest(unittest.TestCase):
    def test_truncation_never_gives_another_plan(self):
        morning = (EXAMPLES / "carrick-morning.csv").read_bytes()
        whole = read_sheet(morning, "s.csv", carrick()).unwrap()
        for data in (morning, morning.replace(b"\n", b"\r\n").replace(b",", b";")):
            for length in range(len(data)):
                read = read_sheet(data[:length], "s.csv", carrick())
                if read.is_ok():
                    self.assertEqual(whole, read.ok_value)
                    self.assertIn(b"end", data[:length])

    @given(st.binary(max_size=300))
    def test_random_bytes_are_refused(self, data):
        self.assertTrue(read_sheet(data, "s.csv", SMALL).is_err())

    @given(st.data())
    def test_random_cells_keep_their_meaning_or_are_refused(self, data):
        line = data.draw(st.integers(0, 1))
        column = data.draw(st.sampled_from(COLUMNS))
        value = data.draw(st.text(max_size=12) | st.from_regex(r"[-0-9., %:TZ+]{0,20}"))
        read = read_small_sheet(line, column, value.replace('"', ""), separator=";")
        if read.is_err():
            self.assertTrue(all(failure.message for failure in read.err_value))
            return
        row, before = read.ok_value[line], read_small_sheet().unwrap()[line]
        self.assertEqual((before.service, before.place), (row.service, row.place))
        self.assertEqual(before.share, row.share)
        if column == "cap":
            self.assertEqual(int(value.strip()), row.cap)
        elif not column.startswith("empty"):
            self.assertEqual(before, row)


class NumberTest(unittest.TestCase):
    def test_notations(self):
        cases = {"1 234": 1234, "1'234.5": 1234.5, "1,234.50": 1234.5, "1.234,5": 1234.5}
        cases |= {"0,500": 0.5, "0.500": 0.5, "12,5": 12.5, "1.234.567": 1234567, "007": 7}
        for text, number in cases.items():
            self.assertEqual(number, read_number(text).unwrap(), text)
        for text in ("1,234", "1.234", "1,23.4", "12,34,567", ".5", "5.", "", "--1", "1 23"):
            self.assertTrue(read_number(text).is_err(), text)

    @given(st.integers(0, FULL_SHARE))
    def test_share_is_exact(self, share):
        text = f"{share / 100:.2f}"
        self.assertEqual(share, read_share(text).unwrap())
        self.assertEqual(share, read_share(text.replace(".", ",") + " %").unwrap())
        self.assertEqual(share, read_cap(str(share)).unwrap())


if __name__ == "__main__":
    unittest.main()
