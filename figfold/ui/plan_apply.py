"""Applies a plan: stores its body, writes the head row and makes every entry load it."""

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
from figfold.ui.admin_client import distribute_plan, make_plan_sender
from figfold.ui.output import Report, UserError, format_table

RETRY_INTERVAL_S = 0.2
IN_FORCE = frozenset({Verdict.ACCEPTED, Verdict.ALREADY_IN_FORCE})
ENTRY_COLUMNS = ("entry", "place", "problem")


def accept_plan(store, body, operator, expected_version=None, sleep=eventlet.sleep):
    """Store a plan's body and update the head row to point to it.

    Parameters
    ----------
    store : PlanStore
    body : bytes
        The plan's rows as they are stored.
    operator : str
        Name of the operator, for the plan's history.
    expected_version : int or None
        The version that must be in force; None allows any.
    sleep : callable
        Waits for a number of seconds between two attempts.

    Returns
    -------
    Finished
        The verdict.
    """
    digest = body_digest(body)
    written = store.write_body(digest, body)
    if written.is_err():
        return Finished(Verdict.NOT_APPLIED, failure=written.unwrap_err())
    application = PlanApplication(digest, operator, time(), expected_version)
    step = ReadHead()
    while not isinstance(step, Finished):
        if _is_repeated(application, step):
            sleep(RETRY_INTERVAL_S)
        step = _perform(store, application, step)
    return step


def _is_repeated(application, step):
    """Return whether the step repeats an earlier read or write."""
    return bool(application.reads if isinstance(step, ReadHead) else application.writes)


def _perform(store, application, step):
    if isinstance(step, ReadHead):
        return after_read(application, store.read_head())
    return after_write(application, store.write_head(step.head, step.etag))


def apply_rows(store, rows, demand_by_region, operator, wait_s, expected_version=None):
    """Apply the rows of a plan, distribute it to the entries, and return the report.

    Raises
    ------
    UserError
        If the plan was not accepted or already replaced, or the outcome is unknown.
    """
    body = encode_body(rows, demand_by_region)
    known = store.list_instances()
    finished = accept_plan(store, body, operator, expected_version)
    if finished.verdict not in IN_FORCE:
        raise UserError.from_failure(_refusal(finished))
    send_plan = make_plan_sender(finished.head, body)
    distribution = distribute_plan(
        finished.head, store.list_instances, wait_s, known=known, send_plan=send_plan
    )
    return _report(finished, distribution)


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
        return Failure(Code.STORE_TIMEOUT, message, "check plan history, then apply it again")
    if finished.verdict is Verdict.NOT_APPLIED:
        message = f"the plan was not applied: {failure.message}"
        return Failure(failure.code, message, "apply it again once the platform answers")
    message = f"the plan was refused: {failure.message}"
    return Failure(failure.code, message, failure.remedy)


def _report(finished, distribution):
    first = _first_line(finished)
    value = _head_value(finished)
    if distribution.is_err():
        message = f"cannot tell which entries have the plan: {distribution.unwrap_err().message}"
        remedy = "run status once the platform can be reached"
        failure = Failure(Code.PLAN_NOT_EVERYWHERE, message, remedy)
        return Report(first, value | {"entries": None}, (failure,))
    plans = distribution.unwrap()
    value["entries"] = [_entry_value(plan) for plan in plans]
    pending = [plan for plan in plans if plan.problem]
    if pending:
        table = format_table(ENTRY_COLUMNS, [(p.name, p.place, p.problem) for p in pending])
        return Report(f"{first}\n{table}", value, (_not_everywhere(finished, plans, pending),))
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


def _not_everywhere(finished, plans, pending):
    version = finished.head.version
    message = f"{len(pending)} of {len(plans)} entries do not have version {version}"
    return Failure(Code.PLAN_NOT_EVERYWHERE, message, "check these entries; run status")


def _entry_value(plan):
    return {
        "name": plan.name,
        "place": plan.place,
        "plan_version": plan.version,
        "problem": plan.problem,
    }
