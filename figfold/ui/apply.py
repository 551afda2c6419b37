"""Applies a plan: stores its body, writes the head row and has every entry take it."""

from time import time

import eventlet

from figfold.core.codes import Code, Failure
from figfold.core.plan import body_digest, encode_body
from figfold.core.plan_application import (
    Finished,
    PlanApplication,
    ReadHead,
    Verdict,
    after_read,
    after_write,
)
from figfold.ui.entries import make_offer, spread_plan
from figfold.ui.output import Report, UserError, format_table

RETRY_PAUSE_S = 0.2
IN_FORCE = frozenset({Verdict.ACCEPTED, Verdict.ALREADY_IN_FORCE})
ENTRY_COLUMNS = ("entry", "place", "problem")


def accept_plan(store, body, operator, expected_version=None, sleep=eventlet.sleep):
    """Store a plan's body and move the head row to it.

    Parameters
    ----------
    store : PlanStore
        The platform.
    body : bytes
        The plan's rows as they are stored.
    operator : str
        Who applies it.
    expected_version : int or None
        The version that must be in force; None admits any.
    sleep : callable
        Waits for a number of seconds between two tries.

    Returns
    -------
    Finished
        How it ended.
    """
    digest = body_digest(body)
    written = store.write_body(digest, body)
    if written.is_err():
        return Finished(Verdict.NOT_APPLIED, failure=written.unwrap_err())
    application = PlanApplication(digest, operator, time(), expected_version)
    step = ReadHead()
    while not isinstance(step, Finished):
        if _is_repeated(application, step):
            sleep(RETRY_PAUSE_S)
        step = _perform(store, application, step)
    return step


def _is_repeated(application, step):
    """Return whether a read or write of this kind was made before."""
    return bool(application.reads if isinstance(step, ReadHead) else application.writes)


def _perform(store, application, step):
    if isinstance(step, ReadHead):
        return after_read(application, store.read_head())
    return after_write(application, store.write_head(step.head, step.etag))


def apply_rows(store, rows, demand_by_region, operator, wait_s, expected_version=None):
    """Apply the rows of a plan, have the entries take it, and return the report.

    Raises
    ------
    UserError
        When the plan was not accepted, was replaced at once, or it is unknown.
    """
    body = encode_body(rows, demand_by_region)
    known = store.list_instances()
    finished = accept_plan(store, body, operator, expected_version)
    if finished.verdict not in IN_FORCE:
        raise UserError.from_failure(_refusal(finished))
    offer = make_offer(finished.head, body)
    spread = spread_plan(finished.head, store.list_instances, wait_s, known=known, offer=offer)
    return _report(finished, spread)


def _refusal(finished):
    failure = finished.failure
    if finished.verdict is Verdict.SUPERSEDED:
        message = (
            f"accepted as version {finished.accepted_version}, but replaced since: "
            f"{failure.message}"
        )
        return Failure(failure.code, message, failure.remedy)
    if finished.verdict is Verdict.UNKNOWN:
        message = f"whether the plan was accepted is unknown: {failure.message}"
        return Failure(Code.STORE_TIMEOUT, message, "look at plan history, then apply it again")
    if finished.verdict is Verdict.NOT_APPLIED:
        message = f"the plan was not applied: {failure.message}"
        return Failure(failure.code, message, "apply it again once the platform answers")
    message = f"the plan was refused: {failure.message}"
    return Failure(failure.code, message, failure.remedy)


def _report(finished, spread):
    first = _first_line(finished)
    value = _head_value(finished)
    if spread.is_err():
        message = f"cannot tell which entries have it: {spread.unwrap_err().message}"
        remedy = "run status once the platform can be reached"
        failure = Failure(Code.PLAN_NOT_EVERYWHERE, message, remedy)
        return Report(first, value | {"entries": None}, (failure,))
    plans = spread.unwrap()
    value["entries"] = [_entry_value(plan) for plan in plans]
    lacking = [plan for plan in plans if plan.problem]
    if lacking:
        table = format_table(ENTRY_COLUMNS, [(p.name, p.place, p.problem) for p in lacking])
        return Report(f"{first}\n{table}", value, (_not_everywhere(finished, plans, lacking),))
    last = f"in force at all entries ({len(plans)})" if plans else "no entry is listed yet"
    return Report(f"{first}\n{last}", value)


def _first_line(finished):
    head = finished.head
    if finished.verdict is Verdict.ACCEPTED:
        return f"accepted as version {head.version}"
    return f"already in force as version {head.version} by {head.operator}"


def _head_value(finished):
    head = finished.head
    return {
        "verdict": finished.verdict.value,
        "version": head.version,
        "digest": head.digest,
        "operator": head.operator,
    }


def _not_everywhere(finished, plans, lacking):
    version = finished.head.version
    message = f"{len(lacking)} of {len(plans)} entries do not have version {version}"
    return Failure(Code.PLAN_NOT_EVERYWHERE, message, "look at these entries; run status")


def _entry_value(plan):
    return {
        "name": plan.name,
        "place": plan.place,
        "plan_version": plan.version,
        "problem": plan.problem,
    }
