"""Implements the command on configurations for the users' platform."""

from attrs import asdict, evolve, frozen

from figfold.config.gateway_settings import load_gateway_settings
from figfold.core.codes import Code, Failure
from figfold.core.traffic.configuration import Configuration
from figfold.core.traffic.configuration_check import (
    find_contradictions,
    find_differences,
    find_version_fault,
)
from figfold.platform.decoding import (
    FieldError,
    decode_configuration_parts,
    find_repeated_names,
    parse_json,
)
from figfold.ui.output import Report, UserError, format_table, unwrap
from figfold.ui.platform_status import open_store, read_store

CONFIGURATION_LIMIT_BYTES = 4 << 20
DIFFERENCE_COLUMNS = ("part", "field", "in force", "file")


@frozen
class LoadedConfiguration:
    """The valid parts of a configuration file, and a failure for each other part."""

    configuration: Configuration
    failures: tuple


def check_configuration(path, in_force_path, settings_path):
    """Return the report on a configuration file.

    Parameters
    ----------
    in_force_path : str
        File of the configuration in force; empty to compare with none.
    settings_path : str
        Settings of an entry, whose store lists the servers; empty if these are not known.

    Raises
    ------
    UserError
        If a file cannot be read as JSON, or the store cannot be read.
    """
    loaded = load_configuration(path)
    in_force = load_configuration(in_force_path) if in_force_path else None
    regions_by_service = _read_regions(settings_path) if settings_path else None
    return report_configuration(path, loaded, in_force, regions_by_service)


def report_configuration(path, loaded, in_force=None, regions_by_service=None):
    """Return the report on a `LoadedConfiguration`, compared with the one in force if it is given.

    Parameters
    ----------
    regions_by_service : dict[str, frozenset[str]] or None
        The regions that have servers of a service; None if they are not known.
    """
    configuration = loaded.configuration
    failures = [*loaded.failures, *find_contradictions(configuration, regions_by_service)]
    counts = {
        "routes": len(configuration.route_by_name),
        "services": len(configuration.service_by_name),
        "organisations": len(configuration.organisation_by_name),
    }
    value = {"version": configuration.version, **counts}
    differences = None
    if in_force is not None:
        differences = find_differences(in_force.configuration, configuration)
        version_fault = find_version_fault(in_force.configuration, configuration, differences)
        failures += [version_fault] if version_fault else []
        value["in_force_version"] = in_force.configuration.version
        value["in_force_faults"] = len(in_force.failures)
        value["differences"] = [asdict(one) for one in differences]
    found = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    faults = _count_faults(failures) if failures else "no fault"
    lines = [f"{path}: {faults} (version {configuration.version}, {found})"]
    if differences is not None:
        lines += ["", *_describe_differences(differences, in_force)]
    located = tuple(evolve(one, file=one.file or str(path)) for one in failures)
    return Report("\n".join(lines), value, located)


def load_configuration(path):
    """Return the `LoadedConfiguration` of a file.

    Raises
    ------
    UserError
        If the file cannot be read as JSON.
    """
    data = _read_file(path)
    try:
        value = parse_json(data)
    except FieldError as error:
        # The cause tells the line of a syntax error.
        line = getattr(error.__cause__, "lineno", 0)
        raise _unreadable(path, str(error), "mend the JSON", line) from error
    if not isinstance(value, dict):
        raise _unreadable(path, "it is not a JSON object", "see the platform's protocol")
    repeated = tuple(
        Failure(
            Code.CONFIGURATION_BAD_VALUE,
            "it stands twice, and only the last one counts",
            "remove one of them",
            field=name[:80],
        )
        for name in find_repeated_names(data)
    )
    configuration, failures = decode_configuration_parts(value)
    return LoadedConfiguration(configuration, repeated + failures)


def _describe_differences(differences, in_force):
    version = in_force.configuration.version
    lines = []
    if in_force.failures:
        lines.append(
            f"version {version} in force has {_count_faults(in_force.failures)}; its invalid parts "
            "are left out"
        )
    if not differences:
        return [*lines, f"no difference from version {version} in force"]
    rows = [(one.part, one.field, one.before, one.after) for one in differences]
    return [*lines, *format_table(DIFFERENCE_COLUMNS, rows).splitlines()]


def _count_faults(failures):
    return f"{len(failures)} fault{'s' if len(failures) > 1 else ''}"


def _read_regions(settings_path):
    """Return the regions that have servers of a service, from the store of an entry's settings."""
    region_by_place = unwrap(load_gateway_settings(settings_path)).region_by_place
    regions_by_service = {}
    for server in read_store(open_store(settings_path)).servers:
        region = region_by_place.get(server.place)
        if region is not None:
            known = regions_by_service.get(server.service, frozenset())
            regions_by_service[server.service] = known | {region}
    return regions_by_service


def _read_file(path):
    try:
        with open(path, "rb") as stream:
            data = stream.read(CONFIGURATION_LIMIT_BYTES + 1)
    except OSError as error:
        raise _unreadable(path, error.strerror or "cannot be read", "check the path") from error
    if len(data) > CONFIGURATION_LIMIT_BYTES:
        message = f"it has more than {CONFIGURATION_LIMIT_BYTES >> 20} MiB"
        raise _unreadable(path, message, "check the path")
    return data


def _unreadable(path, message, remedy, line=0):
    return UserError.from_failure(
        Failure(Code.CONFIGURATION_UNREADABLE, message, remedy, str(path), line)
    )
