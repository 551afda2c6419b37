"""Reads INI files into options that carry their file and line."""

import re
from configparser import ConfigParser
from configparser import Error as ConfigParserError
from difflib import get_close_matches
from pathlib import Path

from attrs import Factory, define, frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure

FILE_LIMIT_BYTES = 4 << 20
DEFAULTS_PATH = Path(__file__).with_name("defaults.ini")
REQUIRED = "required"
COMMENT_PREFIXES = ("#", ";")
# configparser needs a name for its default section; files with NUL are refused, so none has this.
NO_DEFAULT_SECTION = "\0"
SECTION_LINE = re.compile(r"\[(?P<header>\s*[^\s\]][^\]]*)\]")
OPTION_LINE = re.compile(r"(?P<name>[^\s=\[][^=]*?)\s*=.*")


@frozen
class Option:
    """One option and the file and line it was read from."""

    section: str
    name: str
    value: str
    file: str = ""
    line: int = 0

    @property
    def key(self):
        """The section and the name of the option."""
        return self.section, self.name

    def failure(self, code, message, remedy=""):
        """Return a failure that names this option, its file and line, and its value."""
        field = f"{self.section}.{self.name}"
        return Failure(code, message, remedy, self.file, self.line, field, self.value)


@frozen
class Section:
    """The header of a section and the file and line it was read from."""

    name: str
    file: str
    line: int = 0

    def failure(self, code, message, remedy=""):
        """Return a failure that names this section, its file and its line."""
        return Failure(code, message, remedy, self.file, self.line, self.name)


@define
class IniFile:
    """Options and sections of one file, or of several merged files."""

    option_by_key: dict[tuple[str, str], Option] = Factory(dict)
    section_by_name: dict[str, Section] = Factory(dict)
    failures: list[Failure] = Factory(list)

    def add_section(self, section):
        """Record a section; a second one of the same name is a failure."""
        first = self.section_by_name.setdefault(section.name, section)
        if first is not section:
            message = f"section [{section.name}] was already given on line {first.line}"
            remedy = "merge the two sections"
            self.failures.append(section.failure(Code.SETTINGS_DUPLICATE, message, remedy))

    def add_option(self, option):
        """Record an option; a second one of the same name is a failure."""
        first = self.option_by_key.get(option.key)
        if first:
            message = f"already given on line {first.line} of {first.file}"
            self.failures.append(
                option.failure(Code.SETTINGS_DUPLICATE, message, "keep one of them")
            )
        else:
            self.option_by_key[option.key] = option

    def sections_of(self, kind):
        """Return the names of the sections of one kind, in file order."""
        return [name for name in self.section_by_name if name.split()[0] == kind]


def read_ini(path):
    """Read one INI file.

    Returns
    -------
    Result[IniFile, list[Failure]]
        The options, or all syntax errors and duplicates.
    """
    file = str(path)
    text = _read_text(path)
    if text.is_err():
        return Err([text.unwrap_err()])
    lines = text.unwrap().split("\n")
    ini = IniFile()
    keys = _scan(lines, file, ini)
    values = _parse_values(lines, file)
    if values.is_err() and not ini.failures:
        # The scan reports every faulty line, while the parser stops at the first one.
        ini.failures.append(values.unwrap_err())
    for header, name, line in keys:
        value = values.unwrap().get(header, name, fallback="") if values.is_ok() else ""
        ini.add_option(Option(_section_name(header), name, value.strip(), file, line))
    return Err(ini.failures) if ini.failures else Ok(ini)


def _read_text(path):
    file = str(path)
    try:
        with open(path, "rb") as stream:
            data = stream.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        message = error.strerror or "cannot be read"
        return Err(Failure(Code.SETTINGS_UNREADABLE, message, "check the path", file))
    if len(data) > FILE_LIMIT_BYTES:
        message = f"larger than {FILE_LIMIT_BYTES} bytes"
        return Err(Failure(Code.SETTINGS_UNREADABLE, message, "shorten the file", file))
    if b"\0" in data:
        line = data.count(b"\n", 0, data.index(b"\0")) + 1
        message, remedy = "contains a NUL byte", "save the file as UTF-8 text"
        return Err(Failure(Code.SETTINGS_UNREADABLE, message, remedy, file, line))
    try:
        return Ok(data.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        message, remedy = "not UTF-8", "save the file as UTF-8 text"
        return Err(Failure(Code.SETTINGS_UNREADABLE, message, remedy, file, line))


def _scan(lines, file, ini):
    # Finds the lines of sections and options, because configparser keeps no line numbers. Same
    # rules: an indented line continues the value above it, an empty line or a comment ends it.
    keys = []
    header = None
    value_indent = None
    for number, line in enumerate(lines, 1):
        content = line.strip()
        indent = len(line) - len(line.lstrip())
        if not content or content.startswith(COMMENT_PREFIXES):
            value_indent = None
        elif value_indent is not None and indent > value_indent:
            continue
        elif section := SECTION_LINE.fullmatch(content):
            header = section["header"]
            value_indent = None
            ini.add_section(Section(_section_name(header), file, number))
        elif header is not None and (option := OPTION_LINE.fullmatch(content)):
            keys.append((header, option["name"], number))
            value_indent = indent
        else:
            ini.failures.append(_syntax_failure(content, header, file, number))
    return keys


def _section_name(header):
    return " ".join(header.split())


def _syntax_failure(content, header, file, line):
    if header is None:
        message = "before the first section"
    else:
        message = "neither a section nor an option"
    remedy = "write [section], or name = value"
    return Failure(Code.SETTINGS_SYNTAX, message, remedy, file, line, value=content)


def _parse_values(lines, file):
    parser = ConfigParser(
        delimiters=("=",),
        comment_prefixes=COMMENT_PREFIXES,
        strict=False,
        empty_lines_in_values=False,
        default_section=NO_DEFAULT_SECTION,
        interpolation=None,
    )
    parser.optionxform = str
    try:
        parser.read_file(lines, file)
    except ConfigParserError as error:
        message = error.message.replace("\n", " ")
        return Err(Failure(Code.SETTINGS_SYNTAX, message, "fix the line", file))
    return Ok(parser)


def suggest_name(name, known):
    """Return a remedy that suggests the most similar known name, or lists all known names."""
    matches = get_close_matches(name, known, n=1)
    if matches:
        return f"did you mean {matches[0]}?"
    return "known are: " + ", ".join(known)
