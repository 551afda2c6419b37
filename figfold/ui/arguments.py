"""Parses the arguments of commands and loads the settings files that they name."""

from figfold.config.settings import load_settings
from figfold.core.addresses import parse_address
from figfold.core.sheet_values import read_time
from figfold.ui.output import UserError, unwrap

MAX_OPERATOR_CHARACTERS = 100


def load_deployment(path):
    """Return the settings of a deployment, with or without a platform."""
    return unwrap(load_settings(path, required_sections=()))


def load_with_platform(path, platform_url):
    """Return settings with a platform, whose URL the command line may override."""
    overrides = (f"platform.url={platform_url}",) if platform_url else ()
    return unwrap(load_settings(path, overrides, required_sections=("platform",)))


def read_flag(value):
    """Return the value of a boolean flag, given without a value or with true or false."""
    text = str(value).lower()
    if text not in ("true", "false"):
        raise UserError.usage(
            f"a boolean flag cannot have the value {value}", "give the flag without a value"
        )
    return text == "true"


def read_operator(text):
    """Return the operator's name as it is stored in the plan's history."""
    name = text.strip()
    if not name or len(name) > MAX_OPERATOR_CHARACTERS or not name.isprintable():
        remedy = f"give at most {MAX_OPERATOR_CHARACTERS} printable characters"
        raise UserError.usage("--operator needs a name", remedy)
    return name


def read_version(flag, text):
    """Return a plan version, or None for an empty text."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise UserError.usage(f"--{flag} {text} is not a version", "give a whole number, such as 3")
    return int(text)


def read_seconds(flag, text):
    """Return a non-negative duration in seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    # NaN fails this comparison too.
    if not 0 <= seconds < float("inf"):
        raise UserError.usage(
            f"--{flag} {text} is not a time in seconds", "give a number, such as 10"
        )
    return seconds


def read_address(flag, text):
    """Return an IP address with a port."""
    if parse_address(text) is None:
        message = f"--{flag} {text} is not an IP address with a port"
        raise UserError.usage(message, "write for example 10.0.0.1:8103")
    return text


def read_timestamp(flag, text):
    """Return a timestamp as Unix time in seconds, or None for an empty text."""
    if not text:
        return None
    read = read_time(text)
    if read.is_err():
        raise UserError.usage(f"--{flag}: {read.unwrap_err().message}", read.unwrap_err().remedy)
    return read.unwrap()
