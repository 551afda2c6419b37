"""Parses a whole command line with Fire before anything is run.

Fire reports a mistyped flag only after it has called the function. The functions that it calls
therefore only return a description of the command, an object without members, because Fire would
treat members as further commands.
"""

import sys
from contextlib import redirect_stderr
from functools import wraps
from inspect import Parameter, signature
from io import StringIO

from fire import Fire
from fire.core import FireExit
from fire.parser import DefaultParseValue

from figfold.ui.output import UserError


class CommandDescription:
    """Base class of descriptions of a command; hides its members from Fire."""

    __slots__ = ()

    def __dir__(self):
        # Fire treats a further word of the line as a member: "run" would start the command.
        return ()


def parse_line(component, arguments, program):
    """Return the description of the command, or None if its help was shown instead.

    Parameters
    ----------
    component : callable or dict
        The function that describes the command, or groups of such functions by name.
    arguments : list[str]
        The words after the program's name.
    program : str
        Name of the program.

    Raises
    ------
    UserError
        If the command line is invalid.
    """
    path = _command_path(component, arguments)
    quoted = [_quote(argument) for argument in arguments]
    remedy = f"see {' '.join([program, *path])} --help"
    try:
        with redirect_stderr(StringIO()) as fire_output:
            described = Fire(component, quoted, program, serialize=_print_nothing)
    except FireExit as fire_exit:
        if fire_exit.code:
            message = fire_exit.trace.elements[-1].ErrorAsStr()
            raise UserError.usage(f"invalid command line: {message}", remedy) from fire_exit
        sys.stderr.write(fire_output.getvalue())
        return None
    if not isinstance(described, CommandDescription):
        _print_help(component, path, program)
        raise UserError.usage("no command is given", remedy)
    return described


def requires_values(function):
    """Decorate a command to refuse arguments that are given without a value.

    Fire passes True for a flag without a value, and False for one such as ``--noexpect``. An empty
    value is refused too: ``--expect "$VERSION"`` must not apply a sheet without the condition if
    the variable is empty. Boolean flags, whose default is False, are checked by `read_flag`.
    """
    command_signature = signature(function)

    @wraps(function)
    def checked(*args, **kwargs):
        for name, value in command_signature.bind(*args, **kwargs).arguments.items():
            parameter = command_signature.parameters[name]
            if parameter.default is not False and (isinstance(value, bool) or not value):
                flag = f"--{name}" if parameter.kind is Parameter.KEYWORD_ONLY else name
                raise UserError.usage(f"{flag} needs a value")
        return function(*args, **kwargs)

    return checked


def _command_path(component, arguments):
    """Return the leading words that name a command or a group of commands.

    Unknown words are refused here, because Fire would accept the methods of a dictionary, such as
    ``clear``, as commands.
    """
    path = []
    for word in arguments:
        if not isinstance(component, dict) or word.startswith("-"):
            break
        path.append(word)
        if word not in component:
            remedy = f"use one of {', '.join(component)}"
            raise UserError.usage(f"no command {' '.join(path)}", remedy)
        component = component[word]
    return path


def _quote(argument):
    """Return an argument quoted so that Fire keeps its value as text, such as an operator 007."""
    flag, equals, value = argument.partition("=")
    if argument.startswith("--") and equals:
        return f"{flag}={_quote(value)}"
    return argument if DefaultParseValue(argument) == argument else repr(argument)


def _print_nothing(_result):
    return None


def _print_help(component, path, program):
    try:
        Fire(component, [*path, "--", "--help"], program)
    except FireExit:
        pass
