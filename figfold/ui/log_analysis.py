"""Implements the commands that analyse logs of entries: trace and refusals."""

import json
from collections import Counter

from figfold.core.codes import Code, Failure
from figfold.ui.output import Report, UserError, format_table

TRACE_COLUMNS = ("time", "entry", "event", "details")
SUMMARY_COLUMNS = ("outcome", "code", "name", "reason", "service", "count")
# Log fields that are left out of the details, mostly because they have a column of their own.
OMITTED_FIELDS = frozenset(("time", "entry", "event", "level", "id"))
UNANSWERED_EVENTS = frozenset(("refused", "failed"))
FINAL_EVENTS = UNANSWERED_EVENTS | {"answered"}


def read_events(lines):
    """Yield the events of log lines.

    Text before the first brace of a line is ignored, such as a log collector's prefix. Lines
    without a JSON event are skipped.

    Parameters
    ----------
    lines : iterable of str
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # Log collectors truncate long lines and mix in lines of other programs.
            continue
        if isinstance(event, dict) and "event" in event:
            yield event


def trace_request(lines, request_id):
    """Return the report on all events of one request, in order of time."""
    events = [event for event in read_events(lines) if event.get("id") == request_id]
    if not events:
        message = f"no log line has the request id {request_id}"
        remedy = "give the logs of all entries around that time; dropped_before counts lost lines"
        raise UserError.from_failure(Failure(Code.NOT_FOUND, message, remedy))
    events.sort(key=_event_time_s)
    rows = [
        (
            f"{_event_time_s(event):.3f}",
            str(event.get("entry", "")),
            event["event"],
            _details(event),
        )
        for event in events
    ]
    return Report(format_table(TRACE_COLUMNS, rows), {"events": events}, ())


def summarize_refusals(lines, start_s, end_s):
    """Return the report on requests without a server's answer, by reason, in a time range.

    Parameters
    ----------
    lines : iterable of str
    start_s, end_s : float
        Start (inclusive) and end (exclusive) of the range, as Unix time in seconds.
    """
    service_by_id, counts, total = {}, Counter(), 0
    for event in read_events(lines):
        if event["event"] == "attempt":
            service_by_id[event.get("id")] = event.get("service", "")
        if event["event"] not in FINAL_EVENTS or not start_s <= _event_time_s(event) < end_s:
            continue
        total += 1
        if event["event"] in UNANSWERED_EVENTS:
            service = service_by_id.get(event.get("id"), "")
            counts[
                event["event"],
                event.get("code", 0),
                event.get("name", ""),
                event.get("reason", ""),
                service,
            ] += 1
    rows = [(*map(str, key), str(number)) for key, number in counts.most_common()]
    ended = sum(counts.values())
    text = f"{ended} of {total} requests ended without a server's answer"
    if rows:
        text = f"{text}\n\n{format_table(SUMMARY_COLUMNS, rows)}"
    value = {
        "requests": total,
        "refusals": [dict(zip(SUMMARY_COLUMNS, row, strict=True)) for row in rows],
    }
    return Report(text, value, ())


def _event_time_s(event):
    time_s = event.get("time")
    return float(time_s) if isinstance(time_s, (int, float)) else 0.0


def _details(event):
    return " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in OMITTED_FIELDS and value is not None
    )
