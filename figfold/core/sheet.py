"""Parses and validates plan sheets; a sheet with any failure is refused as a whole."""

import csv
from collections import Counter
from re import findall

from attrs import frozen
from result import Err, Ok, Result

from figfold.core.codes import Code, Failure
from figfold.core.model import PlanRow, Topology
from figfold.core.row_checks import (
    EMPTYING,
    SERVING,
    DraftRow,
    FailureCollector,
    check_cap,
    check_coverage,
    check_service_rows,
    to_plan_row,
)
from figfold.core.sheet_values import (
    is_spreadsheet_error,
    read_cap,
    read_share,
    read_time,
    suggest,
)

SHEET_LIMIT_BYTES = 1 << 20
SEPARATORS = (",", ";", "\t")
COLUMNS = ("service", "place", "share_percent", "cap", "state", "empty_from", "empty_until")
END_ROW_MARK = "end"
# Cells of the end row that may be filled: the mark and the number of data rows.
END_ROW_CELLS = 2


@frozen
class CsvRecord:
    """The cells of one CSV record and the line of the file on which it starts."""

    start_line: int
    cells: tuple[str, ...]


def read_sheet(
    data: bytes, name: str, topology: Topology
) -> Result[tuple[PlanRow, ...], list[Failure]]:
    """Parse a sheet exported from a spreadsheet and validate it against the topology.

    Parameters
    ----------
    data : bytes
        Content of the file.
    name : str
        Name of the file as the failures show it.
    topology : Topology
        The places and services that the sheet must cover.

    Returns
    -------
    Result
        All rows in the order of the sheet, or all failures found.
    """
    collector = FailureCollector(name)
    records = _read_records(data, collector)
    if collector.failures:
        return Err(collector.failures)
    index_by_column = _read_header(records[0], collector)
    data_records = _split_off_end_row(records[1:], collector)
    if not index_by_column:
        return Err(collector.failures)
    drafts = _read_drafts(data_records, index_by_column, topology, collector)
    check_coverage(drafts, topology, collector)
    check_service_rows(drafts, topology, collector)
    if collector.failures:
        return Err(sorted(collector.failures, key=lambda failure: failure.line))
    return Ok(tuple(to_plan_row(draft) for draft in drafts))


# Parsing bytes into records.


def _read_records(data, collector):
    if len(data) > SHEET_LIMIT_BYTES:
        message = f"the sheet has {len(data)} bytes, more than {SHEET_LIMIT_BYTES}"
        collector.add(Code.SHEET_TOO_LARGE, message, "export the plan's sheet alone")
        return []
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        message = f"byte {error.start} is not UTF-8"
        collector.add(Code.SHEET_UNREADABLE, message, "export as CSV UTF-8", line)
        return []
    # ``splitlines`` would also split at other line separators, which a cell may contain.
    lines = findall(r"[^\n]*\n|[^\n]+", text)
    records = _parse_records(lines, collector)
    if not records and not collector.failures:
        collector.add(Code.SHEET_HEADER, "the sheet is empty", "export the sheet again", 1)
    return records


def _parse_records(lines, collector):
    header = next((line for line in lines if line.strip()), "")
    separator = max(SEPARATORS, key=header.count)
    reader = csv.reader(lines, delimiter=separator, strict=True)
    records = []
    start = 1
    try:
        for cells in reader:
            stripped = tuple(cell.strip() for cell in cells)
            if any(stripped):
                records.append(CsvRecord(start, stripped))
            start = reader.line_num + 1
    except csv.Error as error:
        message = f"the text is not CSV: {error}"
        collector.add(Code.SHEET_UNREADABLE, message, "export the sheet again", start)
    return records


def _read_header(record, collector):
    """Return the index of each column, or an empty dict when the header is not valid."""
    columns = [cell.casefold() for cell in record.cells]
    is_usable = True
    for column, count in Counter(columns).items():
        if column not in COLUMNS:
            message = f"unknown column {column!r}"
            remedy = suggest(column, COLUMNS)
            collector.add(Code.SHEET_HEADER, message, remedy, record.start_line, column, column)
            is_usable = False
        elif count > 1:
            message = f"the column {column} occurs {count} times"
            remedy = "keep one of them"
            collector.add(Code.SHEET_HEADER, message, remedy, record.start_line, column, column)
            is_usable = False
    for column in COLUMNS:
        if column not in columns:
            message = f"the column {column} is missing"
            collector.add(Code.SHEET_HEADER, message, "add the column", record.start_line, column)
            is_usable = False
    return {column: columns.index(column) for column in COLUMNS} if is_usable else {}


def _is_end_row(record):
    return record.cells[0].casefold() == END_ROW_MARK


def _split_off_end_row(records, collector):
    """Return the data records; the last record must be an end row with their number.

    Without that row a truncated file could pass as a whole sheet.
    """
    remedy = f"export the whole sheet, with a last row '{END_ROW_MARK}' and the number of rows"
    ends = [index for index, record in enumerate(records) if _is_end_row(record)]
    if not ends:
        start_line = records[-1].start_line if records else 1
        collector.add(Code.SHEET_TRUNCATED, "the end row is missing", remedy, start_line)
        return records
    if ends[0] != len(records) - 1:
        message = "rows follow the end row"
        collector.add(Code.SHEET_TRUNCATED, message, remedy, records[ends[0]].start_line)
    data_records = [record for record in records if not _is_end_row(record)]
    _check_end_row(records[ends[0]], len(data_records), collector)
    return data_records


def _check_end_row(record, count, collector):
    remedy = "write the number of data rows in the second cell of the end row"
    if any(record.cells[END_ROW_CELLS:]):
        message = "the end row has more than two filled cells"
        collector.add(Code.SHEET_COLUMN_COUNT, message, "clear the other cells", record.start_line)
    text = record.cells[1] if len(record.cells) > 1 else ""
    if is_spreadsheet_error(text):
        _add_error_value(text, record.start_line, END_ROW_MARK, collector)
    elif not (text.isascii() and text.isdigit() and len(text) < 10 and int(text) == count):
        message = f"the end row counts {text or 'nothing'}, but the sheet has {count} data rows"
        collector.add(Code.SHEET_TRUNCATED, message, remedy, record.start_line, END_ROW_MARK, text)


# Reading records into draft rows.


def _add_error_value(text, line, column, collector):
    message = f"the cell holds the spreadsheet error {text}"
    remedy = "fix the formula in the spreadsheet"
    collector.add(Code.SHEET_SPREADSHEET_ERROR, message, remedy, line, column, text)


def _read_drafts(records, index_by_column, topology, collector):
    drafts = []
    for record in records:
        if len(record.cells) != len(COLUMNS):
            message = f"the row has {len(record.cells)} cells instead of {len(COLUMNS)}"
            remedy = "quote cells that hold the separator"
            collector.add(Code.SHEET_COLUMN_COUNT, message, remedy, record.start_line)
        else:
            cell_by_column = {name: record.cells[at] for name, at in index_by_column.items()}
            drafts.append(_read_draft(record.start_line, cell_by_column, topology, collector))
    return drafts


def _read_draft(line, cell_by_column, topology, collector):
    def cell(column, read):
        text = cell_by_column[column]
        if is_spreadsheet_error(text):
            _add_error_value(text, line, column, collector)
            return None
        return collector.value_or_add(read(text), line, column)

    draft = DraftRow(
        line=line,
        service=cell("service", _name_reader(topology.service_by_name)),
        place=cell("place", _name_reader(topology.place_by_name)),
        share=cell("share_percent", read_share),
        cap=cell("cap", read_cap),
        emptying=cell("state", _read_state),
        empty_from=cell("empty_from", _read_optional_time),
        empty_until=cell("empty_until", _read_optional_time),
    )
    _check_times(draft, cell_by_column, collector)
    check_cap(draft, topology, collector)
    return draft


def _name_reader(item_by_name):
    def read(text):
        if text in item_by_name:
            return Ok(text)
        message = f"unknown name {text!r}"
        remedy = suggest(text, list(item_by_name))
        return Err(Failure(Code.SHEET_UNKNOWN_NAME, message, remedy, value=text))

    return read


def _read_state(text):
    state = text.casefold()
    if state in (SERVING, EMPTYING):
        return Ok(state == EMPTYING)
    message = f"unknown state {text!r}"
    remedy = f"write {SERVING} or {EMPTYING}"
    return Err(Failure(Code.SHEET_BAD_STATE, message, remedy, value=text))


def _read_optional_time(text):
    return read_time(text) if text else Ok(None)


def _check_times(draft, cell_by_column, collector):
    if draft.emptying is False:
        for column in ("empty_from", "empty_until"):
            if cell_by_column[column]:
                message = "a serving row has a time"
                value = cell_by_column[column]
                remedy = f"clear the cell or set the state to {EMPTYING}"
                collector.add(Code.SHEET_BAD_TIME, message, remedy, draft.line, column, value)
    start, end = draft.empty_from, draft.empty_until
    if start is not None and end is not None and start >= end:
        message = "the emptying ends before it starts"
        value = cell_by_column["empty_until"]
        remedy = "set empty_until after empty_from"
        collector.add(Code.SHEET_BAD_TIME, message, remedy, draft.line, "empty_until", value)
