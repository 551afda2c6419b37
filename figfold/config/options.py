"""Merges a settings file with its includes, the overrides and the defaults, and checks names."""

from pathlib import Path

from attrs import define, field
from result import Err, Ok

from figfold.config.ini_file import (
    DEFAULTS_PATH,
    REQUIRED,
    IniFile,
    Option,
    Section,
    read_ini,
    suggest_name,
)
from figfold.core.codes import Code, Failure

# Kinds of sections that can occur several times, and the number of names in their headers.
NAME_COUNT_BY_KIND = {"region": 1, "place": 1, "service": 1, "link": 2}
INCLUDE_KEY = ("include", "files")
OVERRIDE_FILE = "command line"


@define
class OptionSet:
    """All options given for a deployment, with the defaults for the others.

    Attributes
    ----------
    given : IniFile
        Merged options and sections of the files and overrides.
    default_by_key : dict[tuple[str, str], Option]
        Defaults by kind of section and name.
    file : str
        The settings file, for failures about sections that were not given.
    failures : list[Failure]
        All faults found so far.
    """

    given: IniFile
    default_by_key: dict[tuple[str, str], Option]
    file: str
    failures: list[Failure] = field(factory=list)

    def has(self, section):
        """Return whether the section was given."""
        return section in self.given.section_by_name

    def sections_of(self, kind):
        """Return the names of the given sections of one kind, in file order."""
        return self.given.sections_of(kind)

    def add_section_failure(self, name, code, message, remedy):
        """Add a failure about a section, given or not."""
        self.failures.append(self._section(name).failure(code, message, remedy))

    def find(self, section, name):
        """Return the given option, or its default with the file and line of the section."""
        option = self.given.option_by_key.get((section, name))
        if option:
            return option
        default = self.default_by_key[(kind_of(section), name)]
        where = self._section(section)
        value = "" if default.value == REQUIRED else default.value
        return Option(section, name, value, where.file, where.line)

    def is_missing(self, section, name):
        """Return whether the option is required and was not given."""
        option = self.given.option_by_key.get((section, name))
        if option:
            return not option.value and self._is_required(section, name)
        return self._is_required(section, name)

    def _section(self, name):
        return self.given.section_by_name.get(name) or Section(name, self.file)

    def _is_required(self, section, name):
        return self.default_by_key[(kind_of(section), name)].value == REQUIRED


def kind_of(section):
    """Return the kind of a section, which determines its options.

    ``[service stockview]`` is of the kind ``service``; a section that occurs once is its own kind.
    """
    kind = section.split()[0]
    return kind if kind in NAME_COUNT_BY_KIND else section


def read_defaults():
    """Return the packaged defaults by kind of section and name."""
    ini = read_ini(DEFAULTS_PATH).unwrap()
    return {(kind_of(option.section), option.name): option for option in ini.option_by_key.values()}


def read_options(path, overrides=()):
    """Read a settings file, the files that it includes, and overrides.

    Parameters
    ----------
    path : str or Path
        The settings file.
    overrides : iterable of str
        Options in the form ``SECTION.OPTION=VALUE``, which take precedence over the files.

    Returns
    -------
    Result[OptionSet, list[Failure]]
        The options, with a failure for each unknown name; or all unreadable files and syntax
        errors.
    """
    default_by_key = read_defaults()
    main = read_ini(path)
    if main.is_err():
        return main
    layers = [*_read_includes(path, main.unwrap()), main]
    layers.append(_read_overrides(overrides))
    failures = [failure for layer in layers if layer.is_err() for failure in layer.unwrap_err()]
    if failures:
        return Err(failures)
    known = [layer.unwrap() for layer in layers]
    for layer in known:
        failures.extend(_drop_unknown(layer, default_by_key))
    return Ok(OptionSet(_merge(known), default_by_key, str(path), failures))


def _read_includes(path, main):
    option = main.option_by_key.get(INCLUDE_KEY)
    if not option:
        return []
    return [_read_include(Path(path).parent / name, option) for name in option.value.split()]


def _read_include(path, option):
    if not path.is_file():
        remedy = f"check the path; {path} is not a file"
        return Err([option.failure(Code.SETTINGS_UNREADABLE, "no such file", remedy)])
    included = read_ini(path)
    if included.is_err():
        return included
    nested = included.unwrap().option_by_key.get(INCLUDE_KEY)
    if nested:
        message = "an included file has an include of its own"
        remedy = "list all files in the main settings file"
        return Err([nested.failure(Code.SETTINGS_BAD_VALUE, message, remedy)])
    return included


def _read_overrides(overrides):
    layer = IniFile()
    for text in overrides:
        key, equals, value = text.partition("=")
        section, dot, name = key.strip().rpartition(".")
        if not equals or not dot or not section.strip() or not name:
            remedy = "write SECTION.OPTION=VALUE"
            layer.failures.append(
                Failure(Code.SETTINGS_SYNTAX, "not an option", remedy, OVERRIDE_FILE, value=text)
            )
            continue
        section = " ".join(section.split())
        layer.section_by_name.setdefault(section, Section(section, OVERRIDE_FILE))
        layer.add_option(Option(section, name, value.strip(), OVERRIDE_FILE))
    return Err(layer.failures) if layer.failures else Ok(layer)


def _drop_unknown(layer, default_by_key):
    """Remove unknown sections and options and return a failure for each."""
    failures = _drop_unknown_sections(layer, default_by_key)
    for option in list(layer.option_by_key.values()):
        if option.section not in layer.section_by_name:
            # Its section is unknown; one failure covers all options of a section.
            del layer.option_by_key[option.key]
            continue
        names = [name for kind, name in default_by_key if kind == kind_of(option.section)]
        if option.name not in names:
            del layer.option_by_key[option.key]
            remedy = suggest_name(option.name, names)
            code = Code.SETTINGS_UNKNOWN_OPTION
            failures.append(option.failure(code, "unknown option", remedy))
    return failures


def _drop_unknown_sections(layer, default_by_key):
    kinds = list(dict.fromkeys(kind for kind, _ in default_by_key))
    found = [_section_failure(section, kinds) for section in layer.section_by_name.values()]
    failures = [failure for failure in found if failure]
    for failure in failures:
        del layer.section_by_name[failure.field]
    return failures


def _section_failure(section, kinds):
    """Return the failure for an unknown or malformed section header, or None."""
    kind = kind_of(section.name)
    if kind not in kinds:
        remedy = suggest_name(kind, kinds)
        return section.failure(Code.SETTINGS_UNKNOWN_SECTION, "unknown section", remedy)
    name_count = NAME_COUNT_BY_KIND.get(kind, 0)
    if name_count and len(section.name.split()) != name_count + 1:
        remedy = f"write [{' '.join([kind] + ['NAME'] * name_count)}]"
        message = f"{kind} needs exactly {name_count} name(s)"
        return section.failure(Code.SETTINGS_BAD_VALUE, message, remedy)
    return None


def _merge(layers):
    # Later layers override earlier ones. Duplicates within a file were reported by read_ini.
    merged = IniFile()
    for layer in layers:
        merged.option_by_key.update(layer.option_by_key)
        for name, section in layer.section_by_name.items():
            merged.section_by_name.setdefault(name, section)
    return merged
