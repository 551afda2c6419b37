"""Parsing of single sheet cells: numbers, times and spreadsheet error values."""

from datetime import datetime
from decimal import Decimal
from difflib import get_close_matches
from re import ASCII, compile

from result import Err, Ok, Result

from figfold.core.codes import Code, Failure
from figfold.core.model import FULL_SHARE

HUNDREDTHS_PER_PERCENT = 100
# Below the precision of ``Decimal`` arithmetic, so that nothing is rounded.
NUMBER_LENGTH_LIMIT = 20

_DIGITS = compile(r"\d+", ASCII)
# A single mark followed by three digits may be a decimal mark or a thousands mark.
_AMBIGUOUS = compile(r"[1-9]\d{0,2}[.,]\d{3}", ASCII)
_DECIMAL = compile(r"(\d+)[.,](\d+)", ASCII)
# Spaces of any width and apostrophes separate thousands and are never decimal marks.
_SPACED_THOUSANDS = compile(
    r"([1-9]\d{0,2}(?:[ \u00a0\u2009\u202f'\u2019]\d{3})+)(?:[.,](\d+))?", ASCII
)
_COMMA_THOUSANDS = compile(r"([1-9]\d{0,2}(?:,\d{3})+)(?:\.(\d+))?", ASCII)
_POINT_THOUSANDS = compile(r"([1-9]\d{0,2}(?:\.\d{3})+)(?:,(\d+))?", ASCII)
_NOT_DIGIT = compile(r"\D", ASCII)
_OFFICE_ERROR = compile(r"Err:\d+", ASCII)


def is_spreadsheet_error(text):
    """Return whether a cell holds an error value such as ``#REF!`` or ``Err:502``."""
    return text.startswith("#") or _OFFICE_ERROR.fullmatch(text) is not None


def suggest(name, names):
    """Return a remedy that suggests the most similar known name."""
    near = get_close_matches(name, names, n=1)
    return f"did you mean {near[0]}?" if near else f"use one of {', '.join(names)}"


def _bad_number(text, message, remedy):
    return Err(Failure(Code.SHEET_BAD_NUMBER, message, remedy, value=text))


def read_number(text: str) -> Result[Decimal, Failure]:
    """Read a non-negative number in any notation that is not ambiguous."""
    if len(text) > NUMBER_LENGTH_LIMIT:
        return _bad_number(text, "the number is too long", "write a plain number")
    if _DIGITS.fullmatch(text):
        return Ok(Decimal(text))
    if _AMBIGUOUS.fullmatch(text):
        message = f"{text} may have a decimal or a thousands mark"
        return _bad_number(text, message, "write it without thousands marks and trailing zeros")
    for pattern in (_DECIMAL, _SPACED_THOUSANDS, _COMMA_THOUSANDS, _POINT_THOUSANDS):
        match = pattern.fullmatch(text)
        if match:
            whole = _NOT_DIGIT.sub("", match[1])
            return Ok(Decimal(f"{whole}.{match[2] or 0}"))
    return _bad_number(text, f"{text!r} is not a number of zero or more", "write a plain number")


def read_share(text: str) -> Result[int, Failure]:
    """Read a percentage, with or without the sign, as hundredths of a percent."""
    number = read_number(text.removesuffix("%").rstrip())
    if number.is_err():
        return number
    share = number.ok_value * HUNDREDTHS_PER_PERCENT
    if share != int(share):
        return _bad_number(text, f"{text} is finer than 0.01 %", "round to two decimals")
    if share > FULL_SHARE:
        return _bad_number(text, f"{text} is more than 100 %", "write 0 to 100")
    return Ok(int(share))


def read_cap(text: str) -> Result[int, Failure]:
    """Read a whole number of requests."""
    number = read_number(text)
    if number.is_err():
        return number
    if number.ok_value != int(number.ok_value):
        return _bad_number(text, f"{text} is not a whole number", "write a whole number")
    return Ok(int(number.ok_value))


def read_time(text: str) -> Result[float, Failure]:
    """Read an ISO 8601 time with offset as Unix time in seconds."""
    remedy = "write it as 2026-01-31T06:00:00+10:00"
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return Err(
            Failure(Code.SHEET_BAD_TIME, f"{text!r} is not an ISO 8601 time", remedy, value=text)
        )
    if moment.tzinfo is None:
        return Err(Failure(Code.SHEET_BAD_TIME, f"{text} has no offset", remedy, value=text))
    return Ok(moment.timestamp())
