"""Loads and checks the settings of one entry or of a whole deployment."""

from result import Err, Ok

from figfold.config.ini_file import suggest_name
from figfold.config.options import read_options
from figfold.config.section_reader import MS_PER_S, SectionReader
from figfold.config.section_settings import (
    AdminSettings,
    BookingSettings,
    BudgetSettings,
    EntrySettings,
    LogSettings,
    LookupSettings,
    PeerSettings,
    PlanSettings,
    PlatformSettings,
    QuarantineSettings,
    QueueSettings,
    SeatSettings,
    ServerSettings,
    Settings,
)
from figfold.config.topology import read_links, read_topology
from figfold.core.codes import Code

# Sections required in the file of an entry; a deployment file for operators may lack them.
ENTRY_SECTIONS = ("entry", "platform")
CLASS_BY_SECTION = {
    "plan": PlanSettings,
    "lookup": LookupSettings,
    "seats": SeatSettings,
    "bookings": BookingSettings,
    "queue": QueueSettings,
    "hedge": BudgetSettings,
    "retry": BudgetSettings,
    "servers": ServerSettings,
    "peers": PeerSettings,
    "admin": AdminSettings,
    "quarantine": QuarantineSettings,
    "log": LogSettings,
}


def load_settings(path, overrides=(), required_sections=ENTRY_SECTIONS):
    """Load the settings of a file, the files that it includes, and overrides.

    Parameters
    ----------
    path : str or Path
        The settings file.
    overrides : iterable of str
        Options in the form ``SECTION.OPTION=VALUE``, which take precedence over the files.
    required_sections : iterable of str
        Which of the sections ``entry`` and ``platform`` must be present.

    Returns
    -------
    Result[Settings, list[Failure]]
        The settings, or all faults that were found.
    """
    read = read_options(path, overrides)
    if read.is_err():
        return read
    options = read.unwrap()
    topology = read_topology(options)
    settings = Settings(
        entry=_read_optional(options, "entry", EntrySettings, required_sections),
        platform=_read_optional(options, "platform", PlatformSettings, required_sections),
        topology=topology,
        links=read_links(options, topology),
        **{
            name: _read(options, name, section_class)
            for name, section_class in CLASS_BY_SECTION.items()
        },
    )
    _check_entry_place(options, settings)
    _check_durations(options, settings)
    return Err(options.failures) if options.failures else Ok(settings)


def _read(options, name, section_class):
    return section_class.from_config(SectionReader(options, name))


def _read_optional(options, name, section_class, required_sections):
    if options.has(name):
        return _read(options, name, section_class)
    if name in required_sections:
        message, remedy = f"section [{name}] is missing", f"add a section [{name}]"
        options.add_section_failure(name, Code.SETTINGS_MISSING, message, remedy)
    return None


def _check_entry_place(options, settings):
    known = list(settings.topology.place_by_name)
    if settings.entry and settings.entry.place and settings.entry.place not in known:
        section = SectionReader(options, "entry")
        section.add_failure("place", "unknown place", suggest_name(settings.entry.place, known))


def _check_durations(options, settings):
    if settings.plan.confirm_ttl_s <= settings.plan.refresh_interval_s:
        section = SectionReader(options, "plan")
        section.add_failure(
            "confirm_ttl_s", "not above refresh_interval_s", "allow one missed refresh"
        )
    if not settings.entry:
        return
    deadlines = [service.deadline_s for service in settings.topology.service_by_name.values()]
    # Callers may use a look-up until it expires and then send a request that takes its deadline.
    needed_s = settings.lookup.ttl_ms / MS_PER_S + max(deadlines, default=0.0)
    if settings.entry.stop_grace_s < needed_s:
        section = SectionReader(options, "entry")
        message = "too short: a stopping entry would cut off requests"
        remedy = f"allow lookup.ttl_ms plus the longest deadline_ms, {needed_s:g} s"
        section.add_failure("stop_grace_s", message, remedy)
