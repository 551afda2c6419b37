"""Output of the command line: reports, tables, errors and exit codes."""

import sys
from enum import IntEnum
from json import dumps

from attrs import Factory, frozen

from figfold.core.codes import Code, Failure

PROGRAM = "figfold"
COLUMN_GAP = "  "


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    REFUSED = 1
    UNREACHABLE = 2
    USAGE = 3
    NOT_EVERYWHERE = 4


EXIT_CODE_BY_CODE = {
    Code.STORE_UNREACHABLE: ExitCode.UNREACHABLE,
    Code.STORE_TIMEOUT: ExitCode.UNREACHABLE,
    Code.STORE_BAD_ANSWER: ExitCode.UNREACHABLE,
    Code.STORE_ERROR: ExitCode.UNREACHABLE,
    Code.ENTRY_UNREACHABLE: ExitCode.UNREACHABLE,
    Code.USAGE: ExitCode.USAGE,
    Code.PLAN_NOT_EVERYWHERE: ExitCode.NOT_EVERYWHERE,
}


@frozen
class Report:
    """Result of a command, as text for people and as a value for programs.

    Attributes
    ----------
    text : str
    value : dict
        The same content, printed as JSON with ``--json``.
    failures : tuple[Failure, ...]
        Partial failures; the first one determines the exit code.
    """

    text: str
    value: dict = Factory(dict)
    failures: tuple[Failure, ...] = ()

    @property
    def exit_code(self):
        """The exit code of the command."""
        return exit_code_of(self.failures)


class UserError(Exception):
    """Error that ends a command, with a message for the operator and no traceback."""

    def __init__(self, failures):
        super().__init__("; ".join(str(failure) for failure in failures))
        self.failures = tuple(failures)

    @property
    def exit_code(self):
        """The exit code of the command."""
        return exit_code_of(self.failures)

    @classmethod
    def from_failure(cls, failure):
        """Return the error for a single failure."""
        return cls([failure])

    @classmethod
    def usage(cls, message, remedy="see --help"):
        """Return the error for an invalid command line."""
        return cls([Failure(Code.USAGE, message, remedy)])


def unwrap(result):
    """Return the value of a Result, or raise `UserError` with its failure or list of failures."""
    if result.is_ok():
        return result.unwrap()
    failure = result.unwrap_err()
    raise UserError(failure if isinstance(failure, list) else [failure])


def exit_code_of(failures):
    """Return the exit code for the first failure, or OK if there is none."""
    if not failures:
        return ExitCode.OK
    return EXIT_CODE_BY_CODE.get(failures[0].code, ExitCode.REFUSED)


def print_report(report, as_json):
    """Print a report, with its failures on standard error unless the format is JSON."""
    if as_json:
        _print_json(report.value, report.failures)
        return
    for line in report.text.splitlines():
        print(replace_control_characters(line))
    _print_failures(report.failures)


def print_error(error, as_json=False, program=PROGRAM):
    """Print a user error on standard error, or as JSON on standard output."""
    if as_json:
        _print_json({}, error.failures)
    else:
        _print_failures(error.failures, program)


def _print_json(value, failures):
    failure_values = [failure_value(failure) for failure in failures]
    document = {"ok": not failures, **value, "failures": failure_values}
    print(dumps(document, indent=2))


def _print_failures(failures, program=PROGRAM):
    for failure in failures:
        print(f"{program}: {replace_control_characters(str(failure))}", file=sys.stderr)


def failure_value(failure):
    """Return a failure as a JSON value."""
    return {
        "code": int(failure.code),
        "name": failure.code.name,
        "message": failure.message,
        "remedy": failure.remedy,
        "file": failure.file,
        "line": failure.line,
        "field": failure.field,
        "value": failure.value,
    }


def format_table(columns, rows):
    """Return rows of cells as lines with aligned columns, under a line of column names."""
    lines = [[str(cell) for cell in row] for row in (columns, *rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    padded = (
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def replace_control_characters(text):
    """Return the text with control characters replaced, so that it cannot control a terminal."""
    return "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in text)
