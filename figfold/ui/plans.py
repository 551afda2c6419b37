"""Implements the commands on plans: show, diff, history, restore and drain."""

from datetime import UTC, datetime

from attrs import asdict

from figfold.core.codes import Code, Failure
from figfold.core.drain import drained_rows, undrained_rows
from figfold.core.model import Plan
from figfold.core.plan import body_digest, diff_plans, encode_body
from figfold.core.row_checks import check_plan_rows
from figfold.ui.arguments import (
    load_with_platform,
    read_operator,
    read_seconds,
    read_timestamp,
    read_version,
)
from figfold.ui.output import Report, UserError, format_table, unwrap
from figfold.ui.plan_apply import apply_rows
from figfold.ui.plan_store import PlanStore
from figfold.ui.sheets import demand_of, load_sheet

HUNDREDTHS_PER_PERCENT = 100
SHORT_DIGEST_LENGTH = 12
ABSENT = "-"


def show_plan(settings_path, platform_url, version_text):
    """Return the report on the plan in force, or on an earlier one."""
    version = read_version("version", version_text)
    store = _open_store(settings_path, platform_url)
    head = require_head(store)
    if version is not None:
        head = _find_version(head, version)
    plan = unwrap(store.read_plan(head))
    rows = [_row_cells(row) for row in plan.row_by_key.values()]
    columns = ("service", "place", "share", "cap", "state", "from", "until")
    text = f"{_headline(plan)}\n{format_table(columns, rows)}"
    value = _head_value(plan) | {
        "rows": [asdict(row) for row in plan.row_by_key.values()],
        "demand_by_region": plan.demand_by_region,
    }
    return Report(text, value)


def diff_plan(path, settings_path, platform_url):
    """Return the report on what a sheet would change in the plan in force."""
    settings = load_with_platform(settings_path, platform_url)
    rows = load_sheet(path, settings.topology)
    store = PlanStore.from_config(settings.platform)
    head = unwrap(store.read_head()).head
    old = unwrap(store.read_plan(head)) if head else None
    demand = demand_of(settings.topology)
    row_by_key = {(row.service, row.place): row for row in rows}
    new = Plan(0, body_digest(encode_body(rows, demand)), row_by_key, demand)
    return _diff_report(old, new)


def show_history(settings_path, platform_url):
    """Return the report on the accepted plans, the latest first."""
    head = require_head(_open_store(settings_path, platform_url))
    entries = [head, *reversed(head.history)]
    rows = [
        (
            entry.version,
            format_time(entry.accepted_at),
            entry.operator,
            entry.digest[:SHORT_DIGEST_LENGTH],
        )
        for entry in entries
    ]
    text = format_table(("version", "accepted", "operator", "digest"), rows)
    return Report(text, {"plans": [_head_value(entry) for entry in entries]})


def restore_plan(settings_path, platform_url, version_text, operator, wait_text):
    """Apply the content of an earlier plan as a new version."""
    operator = read_operator(operator)
    wait_s = read_seconds("wait_s", wait_text)
    version = read_version("version", version_text)
    settings = load_with_platform(settings_path, platform_url)
    store = PlanStore.from_config(settings.platform)
    head = require_head(store)
    plan = unwrap(store.read_plan(_find_version(head, version)))
    stored = plan.row_by_key.values()
    rows = unwrap(check_plan_rows(stored, f"version {version}", settings.topology))
    # The expected version keeps this from overwriting a plan that was accepted meanwhile.
    return apply_rows(store, rows, plan.demand_by_region, operator, wait_s, head.version)


def drain_place(place, settings_path, platform_url, operator, from_text, until_text, wait_text):
    """Apply a new version of the plan in force that empties a place."""
    empty_from = read_timestamp("empty_from", from_text)
    empty_until = read_timestamp("empty_until", until_text)

    def change(plan):
        return drained_rows(plan, place, empty_from, empty_until)

    return _change_plan(change, settings_path, platform_url, operator, wait_text)


def undrain_place(place, settings_path, platform_url, operator, wait_text):
    """Apply a new version of the plan in force that no longer empties a place."""

    def change(plan):
        return undrained_rows(plan, place)

    return _change_plan(change, settings_path, platform_url, operator, wait_text)


def _change_plan(change, settings_path, platform_url, operator, wait_text):
    operator = read_operator(operator)
    wait_s = read_seconds("wait_s", wait_text)
    store = _open_store(settings_path, platform_url)
    plan = unwrap(store.read_plan(require_head(store)))
    rows = unwrap(change(plan))
    # The expected version keeps this from overwriting a plan that was accepted meanwhile.
    return apply_rows(store, rows, plan.demand_by_region, operator, wait_s, plan.version)


def _open_store(settings_path, platform_url):
    return PlanStore.from_config(load_with_platform(settings_path, platform_url).platform)


def require_head(store):
    """Return the head of the plan in force; raise `UserError` if there is none."""
    head = unwrap(store.read_head()).head
    if head is None:
        message, remedy = "no plan is in force", "apply a sheet"
        raise UserError.from_failure(Failure(Code.PLAN_NONE, message, remedy))
    return head


def _find_version(head, version):
    for entry in (head, *head.history):
        if entry.version == version:
            return entry
    message = f"version {version} is not in the history"
    raise UserError.from_failure(Failure(Code.NOT_FOUND, message, "see plan history"))


def _headline(plan):
    accepted = format_time(plan.accepted_at)
    return f"version {plan.version}, accepted {accepted} by {plan.operator}"


def _head_value(head):
    return {
        "version": head.version,
        "digest": head.digest,
        "operator": head.operator,
        "accepted_at": head.accepted_at,
    }


def _row_cells(row):
    state = "emptying" if row.emptying else "serving"
    times = (format_time(row.empty_from), format_time(row.empty_until))
    return (row.service, row.place, format_share(row.share), row.cap, state, *times)


def _diff_report(old, new):
    changes = diff_plans(old, new)
    version = old.version if old else 0
    value = {"version": version, "changes": [asdict(change) for change in changes]}
    demand_changed = old is not None and old.demand_by_region != new.demand_by_region
    value["demand_changed"] = demand_changed
    if not changes and not demand_changed:
        return Report(f"no difference from version {version}", value)
    rows = [_change_cells(change) for change in changes]
    text = format_table(("service", "place", "share", "cap", "emptying"), rows)
    note = "\nthe demand by region differs" if demand_changed else ""
    return Report(f"differences from version {version}\n{text}{note}", value)


def _change_cells(change):
    return (
        change.service,
        change.place,
        _change_cell(change.share_before, change.share_after, format_share),
        _change_cell(change.cap_before, change.cap_after, str),
        _change_cell(change.emptying_before, change.emptying_after, _yes_no),
    )


def _change_cell(before, after, show):
    texts = [ABSENT if value is None else show(value) for value in (before, after)]
    return texts[0] if texts[0] == texts[1] else " -> ".join(texts)


def format_share(hundredths):
    """Return a share, in hundredths of a percent, as text in percent."""
    return f"{hundredths / HUNDREDTHS_PER_PERCENT:g} %"


def _yes_no(value):
    return "yes" if value else "no"


def format_time(unix_s):
    """Return a Unix time as ISO 8601 in UTC, or a dash for None."""
    if unix_s is None:
        return ABSENT
    try:
        return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    except (ValueError, OverflowError, OSError):
        # Out of the range of datetime.
        return f"{unix_s:.0f}"
