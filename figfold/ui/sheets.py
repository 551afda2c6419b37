"""Implements the commands on settings files and sheets."""

from figfold.config.gateway_settings import load_gateway_settings
from figfold.config.settings import ENTRY_SECTIONS, load_settings
from figfold.core.codes import Code, Failure
from figfold.core.sheet import SHEET_LIMIT_BYTES, read_sheet
from figfold.ui.arguments import (
    load_deployment,
    load_with_platform,
    read_operator,
    read_seconds,
    read_version,
)
from figfold.ui.output import Report, UserError, unwrap
from figfold.ui.plan_apply import apply_rows
from figfold.ui.plan_store import PlanStore


def check_settings(path, form):
    """Check a settings file of the form ``entry``, ``deployment`` or ``gateway``."""
    if form == "gateway":
        places = unwrap(load_gateway_settings(path)).region_by_place
        return Report(f"{path}: no fault ({len(places)} places)", {"places": len(places)})
    required_sections = () if form == "deployment" else ENTRY_SECTIONS
    topology = unwrap(load_settings(path, required_sections=required_sections)).topology
    counts = {
        "regions": len(topology.region_by_name),
        "places": len(topology.place_by_name),
        "services": len(topology.service_by_name),
    }
    found = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    return Report(f"{path}: no fault ({found})", counts)


def check_sheet(path, settings_path):
    """Check a sheet against the deployment."""
    rows = load_sheet(path, load_deployment(settings_path).topology)
    return Report(f"{path}: no fault ({len(rows)} rows)", {"rows": len(rows)})


def apply_sheet(path, settings_path, platform_url, operator, expected_text, wait_text):
    """Check a sheet and apply it as the plan."""
    operator = read_operator(operator)
    expected_version = read_version("expect", expected_text)
    wait_s = read_seconds("wait_s", wait_text)
    settings = load_with_platform(settings_path, platform_url)
    rows = load_sheet(path, settings.topology)
    store = PlanStore.from_config(settings.platform)
    demand = demand_of(settings.topology)
    return apply_rows(store, rows, demand, operator, wait_s, expected_version)


def demand_of(topology):
    """Return the expected demand by region, in percent."""
    return {region.name: region.demand_percent for region in topology.region_by_name.values()}


def load_sheet(path, topology):
    """Return the rows of a sheet file."""
    try:
        with open(path, "rb") as stream:
            data = stream.read(SHEET_LIMIT_BYTES + 1)
    except OSError as error:
        message = error.strerror or "cannot be read"
        raise UserError.from_failure(
            Failure(Code.SHEET_UNREADABLE, message, "check the path", str(path))
        ) from error
    return unwrap(read_sheet(data, str(path), topology))
