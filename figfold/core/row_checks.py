"""Validation of plan rows against the topology, for new sheets and for stored plans."""

from attrs import asdict, evolve, frozen
from result import Err, Ok, Result

from figfold.core.codes import Code, Failure
from figfold.core.model import FULL_SHARE, PlanRow, Topology
from figfold.core.sheet_values import HUNDREDTHS_PER_PERCENT

SERVING = "serving"
EMPTYING = "emptying"


@frozen
class DraftRow:
    """The values of one data row; None stands for a cell that could not be read."""

    line: int
    service: str | None
    place: str | None
    share: int | None
    cap: int | None
    emptying: bool | None
    empty_from: float | None
    empty_until: float | None


class FailureCollector:
    """Collects the failures of one sheet."""

    def __init__(self, name):
        self.name = name
        self.failures = []

    def add(self, code, message, remedy="", line=0, field="", value=""):
        """Add a failure."""
        self.failures.append(Failure(code, message, remedy, self.name, line, field, value))

    def value_or_add(self, read, line, field):
        """Return the value of a result; if it is a failure, add it and return None."""
        if read.is_ok():
            return read.ok_value
        found = read.err_value
        self.failures.append(evolve(found, file=self.name, line=line, field=field))
        return None


def check_plan_rows(
    rows, name: str, topology: Topology
) -> Result[tuple[PlanRow, ...], list[Failure]]:
    """Validate the rows of a stored plan against the topology, which may have changed since.

    Parameters
    ----------
    rows : iterable of PlanRow
        The rows.
    name : str
        Name of the plan as the failures show it.
    topology : Topology
        The present places and services.

    Returns
    -------
    Result
        The rows, or all failures found.
    """
    collector = FailureCollector(name)
    drafts = [DraftRow(line=0, **asdict(row)) for row in rows]
    for draft in drafts:
        if _has_known_names(draft, topology, collector):
            check_cap(draft, topology, collector)
    check_coverage(drafts, topology, collector)
    check_service_rows(drafts, topology, collector)
    if collector.failures:
        remedy = "apply a sheet that fits the settings"
        return Err([evolve(failure, remedy=remedy) for failure in collector.failures])
    return Ok(tuple(to_plan_row(draft) for draft in drafts))


def _has_known_names(draft, topology, collector):
    pairs = (
        ("service", draft.service, topology.service_by_name),
        ("place", draft.place, topology.place_by_name),
    )
    unknown = [(field, name) for field, name, known in pairs if name not in known]
    for field, name in unknown:
        message = f"unknown {field} {name}"
        collector.add(Code.SHEET_UNKNOWN_NAME, message, field=field, value=name)
    return not unknown


def check_cap(draft, topology, collector):
    """Check that the cap is within the place's capacity and that a row with a share has a cap."""
    if draft.service is None or draft.place is None or draft.cap is None:
        return
    service = topology.service_by_name[draft.service]
    capacity = service.endpoints_by_place.get(draft.place, 0) * service.slots
    value = str(draft.cap)
    if draft.cap > capacity:
        message = f"{draft.place} bears {capacity} requests of {draft.service}"
        remedy = f"set the cap to {capacity} or less"
        collector.add(Code.SHEET_CAP_UNBEARABLE, message, remedy, draft.line, "cap", value)
    elif draft.share and not draft.cap:
        message = "the row has a share and no cap"
        remedy = "set the share to 0 or raise the cap"
        collector.add(Code.SHEET_CAP_UNBEARABLE, message, remedy, draft.line, "cap", value)


# Checks across rows.


def check_coverage(drafts, topology, collector):
    """Check that every service has one row for every place."""
    line_by_key = {}
    for draft in drafts:
        key = (draft.service, draft.place)
        if None in key:
            continue
        if key in line_by_key:
            message = f"{key[0]} at {key[1]} is already in line {line_by_key[key]}"
            value = draft.place
            collector.add(Code.SHEET_DUPLICATE, message, "keep one row", draft.line, "place", value)
        line_by_key.setdefault(key, draft.line)
    for service in topology.service_by_name:
        for place in topology.place_by_name:
            if (service, place) not in line_by_key:
                message = f"no row for {service} at {place}"
                collector.add(Code.SHEET_MISSING_ROW, message, "add the row", value=place)


def check_service_rows(drafts, topology, collector):
    """Check each service with a complete set of rows: share sum, and that some place serves."""
    for service in topology.service_by_name:
        rows = [draft for draft in drafts if draft.service == service]
        places = {row.place for row in rows}
        if len(rows) != len(topology.place_by_name) or len(places) != len(rows):
            continue
        _check_share_sum(service, rows, collector)
        _check_some_place_serves(service, rows, collector)


def _check_share_sum(service, rows, collector):
    shares = [row.share for row in rows]
    if None in shares or sum(shares) == FULL_SHARE:
        return
    total = f"{sum(shares) / HUNDREDTHS_PER_PERCENT:g}"
    message = f"the shares of {service} sum to {total} %"
    remedy = "make them sum to 100 %"
    line = rows[-1].line
    collector.add(Code.SHEET_SHARE_SUM, message, remedy, line, "share_percent", total)


def _check_some_place_serves(service, rows, collector):
    """Check that at least one place serves at any time while others are being emptied."""
    if any(row.emptying is None or row.share is None or row.cap is None for row in rows):
        return
    rows_to_check = [to_plan_row(row) for row in rows]
    starts = [row.empty_from or 0.0 for row in rows_to_check if row.emptying]
    for start in sorted(set(starts)):
        serving = [row for row in rows_to_check if not row.is_emptying(start)]
        if not any(row.share and row.cap for row in serving):
            message = f"no place is left that serves {service} while others are being emptied"
            remedy = "keep one place with a share and a cap serving"
            collector.add(
                Code.SHEET_CAP_UNBEARABLE, message, remedy, rows[-1].line, "state", EMPTYING
            )
            return


def to_plan_row(draft):
    """Return the plan row of a draft in which all cells could be read."""
    return PlanRow(
        service=draft.service,
        place=draft.place,
        share=draft.share,
        cap=draft.cap,
        emptying=draft.emptying,
        empty_from=draft.empty_from,
        empty_until=draft.empty_until,
    )
