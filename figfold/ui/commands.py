"""The command-line interface for Fire: each function returns a description of what to run."""

import sys
from collections.abc import Callable

from attrs import frozen

from figfold.ui.arguments import read_flag, read_seconds
from figfold.ui.configurations import check_configuration
from figfold.ui.log_analysis import summarize_refusals, trace_request
from figfold.ui.output import Report, UserError
from figfold.ui.overview import explain_choice, show_status
from figfold.ui.parse import CommandDescription, requires_values
from figfold.ui.plans import (
    diff_plan,
    drain_place,
    restore_plan,
    show_history,
    show_plan,
    undrain_place,
)
from figfold.ui.platform_status import explain_route, show_platform
from figfold.ui.sheets import apply_sheet, check_settings, check_sheet

DEFAULT_WAIT_S = "10"
NO_END_S = "1e12"  # Later than any time in a log.


@frozen
class Command(CommandDescription):
    """A parsed command, which does nothing until ``run`` is called."""

    run: Callable[[], Report]
    as_json: bool = False


@requires_values
def settings_check(file, *, deployment=False, gateway=False, json=False):
    """Check a settings file and print all faults.

    Parameters
    ----------
    file : str
        The settings file of an entry.
    deployment : bool
        Check the file of a whole deployment, which may lack the sections [entry] and [platform].
    gateway : bool
        Check the file of an entry on the users' platform, with the section [gateway].
    json : bool
        Print JSON.
    """
    form = "deployment" if read_flag(deployment) else "entry"
    form = "gateway" if read_flag(gateway) else form
    return Command(lambda: check_settings(file, form), read_flag(json))


@requires_values
def config_check(file, *, in_force="", settings="", json=False):
    """Check a configuration for the users' platform before it is stored, and print all faults.

    Parameters
    ----------
    file : str
        The value of the configuration's row, as JSON.
    in_force : str
        The configuration in force, likewise, to show what differs.
    settings : str
        The settings file of an entry on the users' platform, to compare homes with the servers that
        the store lists.
    json : bool
        Print JSON.
    """
    return Command(lambda: check_configuration(file, in_force, settings), read_flag(json))


@requires_values
def sheet_check(file, *, settings, json=False):
    """Check a sheet and print all faults; nothing is applied.

    Parameters
    ----------
    file : str
        The sheet, a CSV export.
    settings : str
        The settings file of the deployment.
    json : bool
        Print JSON.
    """
    return Command(lambda: check_sheet(file, settings), read_flag(json))


@requires_values
def sheet_apply(
    file, *, settings, operator, platform="", expect="", wait_s=DEFAULT_WAIT_S, json=False
):
    """Check a sheet, put it in force in full, and wait until every entry has it.

    Parameters
    ----------
    file : str
        The sheet, a CSV export.
    settings : str
        The settings file of the deployment.
    operator : str
        Who applies it; kept in the plan's history.
    platform : str
        URL of the platform, instead of the one in the settings.
    expect : str
        Refuse unless this version is in force now; 0 means that no plan is in force.
    wait_s : str
        Longest time to wait for the entries, in seconds.
    json : bool
        Print JSON.
    """
    return Command(
        lambda: apply_sheet(file, settings, platform, operator, expect, wait_s), read_flag(json)
    )


@requires_values
def plan_show(*, settings, platform="", version="", json=False):
    """Show the plan in force, or an earlier one.

    Parameters
    ----------
    settings : str
        The settings file of the deployment.
    platform : str
        URL of the platform, instead of the one in the settings.
    version : str
        Show this version instead.
    json : bool
        Print JSON.
    """
    return Command(lambda: show_plan(settings, platform, version), read_flag(json))


@requires_values
def plan_diff(file, *, settings, platform="", json=False):
    """Show what a sheet would change in the plan in force; nothing is applied.

    Parameters
    ----------
    file : str
        The sheet, a CSV export.
    settings : str
        The settings file of the deployment.
    platform : str
        URL of the platform, instead of the one in the settings.
    json : bool
        Print JSON.
    """
    return Command(lambda: diff_plan(file, settings, platform), read_flag(json))


@requires_values
def plan_history(*, settings, platform="", json=False):
    """Show the accepted plans, the latest first.

    Parameters
    ----------
    settings : str
        The settings file of the deployment.
    platform : str
        URL of the platform, instead of the one in the settings.
    json : bool
        Print JSON.
    """
    return Command(lambda: show_history(settings, platform), read_flag(json))


@requires_values
def plan_restore(*, settings, operator, version, platform="", wait_s=DEFAULT_WAIT_S, json=False):
    """Put an earlier plan in force again as a new version, and wait until every entry has it.

    Parameters
    ----------
    settings : str
        The settings file of the deployment.
    operator : str
        Who restores it; kept in the plan's history.
    version : str
        The version whose content is restored.
    platform : str
        URL of the platform, instead of the one in the settings.
    wait_s : str
        Longest time to wait for the entries, in seconds.
    json : bool
        Print JSON.
    """
    return Command(
        lambda: restore_plan(settings, platform, version, operator, wait_s), read_flag(json)
    )


@requires_values
def status(*, settings="", platform="", entry="", json=False):
    """Show every entry, and the load of each place next to its caps.

    Parameters
    ----------
    settings : str
        The settings file of the deployment.
    platform : str
        URL of the platform, instead of the one in the settings.
    entry : str
        Admin address of any entry, to get the list of entries from it instead of the platform.
    json : bool
        Print JSON.
    """
    return Command(lambda: show_status(settings, platform, entry), read_flag(json))


@requires_values
def explain(*, settings, service, caller, region="", platform="", json=False):
    """Show which place and entries a caller is sent to, and why.

    Parameters
    ----------
    settings : str
        The settings file of the deployment.
    service : str
        The service that the caller requests.
    caller : str
        What identifies the caller, such as its address.
    region : str
        The caller's region; by default the one whose address blocks contain the caller.
    platform : str
        URL of the platform, instead of the one in the settings.
    json : bool
        Print JSON.
    """
    return Command(
        lambda: explain_choice(settings, platform, service, caller, region), read_flag(json)
    )


@requires_values
def drain(
    place,
    *,
    settings,
    operator,
    empty_from="",
    empty_until="",
    undo=False,
    platform="",
    wait_s=DEFAULT_WAIT_S,
    json=False,
):
    """Empty a place with a new version of the plan in force, and wait until every entry has it.

    Parameters
    ----------
    place : str
        The place to empty.
    settings : str
        The settings file of the deployment.
    operator : str
        Who drains it; kept in the plan's history.
    empty_from : str
        Start time in ISO 8601 with an offset; by default now.
    empty_until : str
        End time in ISO 8601 with an offset; by default none.
    undo : bool
        Stop emptying the place instead.
    platform : str
        URL of the platform, instead of the one in the settings.
    wait_s : str
        Longest time to wait for the entries, in seconds.
    json : bool
        Print JSON.
    """
    as_json = read_flag(json)
    if not read_flag(undo):
        return Command(
            lambda: drain_place(
                place, settings, platform, operator, empty_from, empty_until, wait_s
            ),
            as_json,
        )
    if empty_from or empty_until:
        raise UserError.usage("--undo cannot be combined with --empty_from or --empty_until")
    return Command(lambda: undrain_place(place, settings, platform, operator, wait_s), as_json)


@requires_values
def trace(request_id, *, json=False):
    """Show all events of one request, from the logs of entries on standard input.

    Parameters
    ----------
    request_id : str
        The id that the caller gave the request.
    json : bool
        Print JSON.
    """
    return Command(lambda: trace_request(sys.stdin, request_id), read_flag(json))


@requires_values
def refusals(*, from_s="0", until_s=NO_END_S, json=False):
    """Count requests that got no server's answer, by reason, from logs on standard input.

    Parameters
    ----------
    from_s, until_s : str
        Start and end of the time range, as Unix time in seconds.
    json : bool
        Print JSON.
    """
    start_s, end_s = read_seconds("from_s", from_s), read_seconds("until_s", until_s)
    return Command(lambda: summarize_refusals(sys.stdin, start_s, end_s), read_flag(json))


@requires_values
def platform_status(*, settings, json=False):
    """Show configuration, evacuations, servers and entries from the platform's store.

    Parameters
    ----------
    settings : str
        The settings file of an entry on the users' platform.
    json : bool
        Print JSON.
    """
    return Command(lambda: show_platform(settings), read_flag(json))


@requires_values
def platform_explain(*, settings, host, path, json=False):
    """Show the route that matches a request, and the servers that may handle it.

    Parameters
    ----------
    settings : str
        The settings file of an entry on the users' platform.
    host : str
        Host of the request.
    path : str
        Path of the request.
    json : bool
        Print JSON.
    """
    return Command(lambda: explain_route(settings, host, path), read_flag(json))


COMMANDS = {
    "settings": {"check": settings_check},
    "config": {"check": config_check},
    "sheet": {"check": sheet_check, "apply": sheet_apply},
    "plan": {
        "show": plan_show,
        "diff": plan_diff,
        "history": plan_history,
        "restore": plan_restore,
    },
    "platform": {"status": platform_status, "explain": platform_explain},
    "status": status,
    "explain": explain,
    "drain": drain,
    "trace": trace,
    "refusals": refusals,
}
