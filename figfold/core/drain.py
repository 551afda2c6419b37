"""Plan rows that empty a place or end its emptying, and the emptyings of a plan."""

from attrs import evolve
from result import Err, Ok, Result

from figfold.core.codes import Code, Failure
from figfold.core.model import PlanRow


def drained_rows(
    plan, place, empty_from=None, empty_until=None
) -> Result[tuple[PlanRow, ...], Failure]:
    """Return the plan's rows with a place set to emptying for every service.

    Parameters
    ----------
    plan : Plan
        The plan in force.
    place : str
        The place to empty.
    empty_from, empty_until : float or None
        Bounds of the emptying as Unix time in seconds; None leaves that side open.
    """
    known = _check_place(plan, place)
    if known.is_err():
        return known
    if None not in (empty_from, empty_until) and empty_from >= empty_until:
        message, remedy = "the emptying ends before it starts", "set the end after the start"
        return Err(Failure(Code.SHEET_BAD_TIME, message, remedy))
    change = {"emptying": True, "empty_from": empty_from, "empty_until": empty_until}
    rows = _with_changed_place(plan, place, change)
    for service in dict.fromkeys(row.service for row in rows):
        if not _is_always_served([row for row in rows if row.service == service]):
            message = f"no place would be left that serves {service}"
            remedy = f"end the emptying of another place before {place} is emptied"
            return Err(Failure(Code.SHEET_CAP_UNBEARABLE, message, remedy))
    return Ok(rows)


def undrained_rows(plan, place) -> Result[tuple[PlanRow, ...], Failure]:
    """Return the plan's rows with a place set to serving for every service."""
    known = _check_place(plan, place)
    if known.is_err():
        return known
    if not any(row.emptying for row in plan.row_by_key.values() if row.place == place):
        message = f"version {plan.version} does not empty {place}"
        return Err(Failure(Code.NOT_FOUND, message, "look at plan show"))
    change = {"emptying": False, "empty_from": None, "empty_until": None}
    return Ok(_with_changed_place(plan, place, change))


def unfinished_emptyings(plan, now_s):
    """Return the rows whose emptying is under way or still to start at Unix time ``now_s``."""
    return [
        row
        for row in plan.row_by_key.values()
        if row.emptying and (row.empty_until is None or now_s < row.empty_until)
    ]


def _check_place(plan, place):
    places = list(dict.fromkeys(name for _, name in plan.row_by_key))
    if place in places:
        return Ok(None)
    remedy = f"use one of {', '.join(places)}"
    return Err(Failure(Code.SHEET_UNKNOWN_NAME, f"unknown place {place}", remedy, value=place))


def _with_changed_place(plan, place, change):
    return tuple(
        evolve(row, **change) if row.place == place else row for row in plan.row_by_key.values()
    )


def _is_always_served(rows):
    # The set of places being emptied grows only at the start of an emptying, so it is enough to
    # check those times.
    starts = {row.empty_from or 0.0 for row in rows if row.emptying}
    return all(
        any(row.share and row.cap and not row.is_emptying(start) for row in rows)
        for start in starts
    )
