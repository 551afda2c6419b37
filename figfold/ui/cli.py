"""Runs one command line and prints its report."""

from figfold.ui.commands import COMMANDS
from figfold.ui.output import PROGRAM, ExitCode, UserError, print_error, print_report
from figfold.ui.parse import parse_line


def run(arguments):
    """Run one command line and return its exit code."""
    try:
        command = parse_line(COMMANDS, arguments, PROGRAM)
    except UserError as error:
        print_error(error)
        return error.exit_code
    return ExitCode.OK if command is None else _run_command(command)


def _run_command(command):
    try:
        report = command.run()
        print_report(report, command.as_json)
        return report.exit_code
    except UserError as error:
        print_error(error, command.as_json)
        return error.exit_code
