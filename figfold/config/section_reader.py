"""Converts the text of options to typed values and collects all faults."""

import ipaddress
import math
import re

from attrs import define

from figfold.config.ini_file import suggest_name
from figfold.config.options import OptionSet
from figfold.core.addresses import parse_address
from figfold.core.codes import Code

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,32}")
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,18}")
NUMBER_PATTERN = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,30})?([eE][+-]?[0-9]{1,3})?")
MS_PER_S = 1000.0


@define
class SectionReader:
    """Typed access to the options of one section.

    For an invalid option, each method adds a failure to the option set and still returns a value of
    its type, so that all faults are reported at once.
    """

    options: OptionSet
    section: str

    def option(self, name):
        """Return the given option or its default, with file and line."""
        return self.options.find(self.section, name)

    def add_failure(self, name, message, remedy=""):
        """Add a failure about the option's value."""
        option = self.option(name)
        self.options.failures.append(option.failure(Code.SETTINGS_BAD_VALUE, message, remedy))

    def text(self, name):
        """Return the value as text; a required one may not be empty."""
        if self.options.is_missing(self.section, name):
            option = self.option(name)
            message, remedy = "required option is missing", f"add {name} = VALUE"
            self.options.failures.append(option.failure(Code.SETTINGS_MISSING, message, remedy))
        return self.option(name).value

    def words(self, name):
        """Return the words of the value, separated by white space."""
        return tuple(self.text(name).split())

    def name(self, name):
        """Return the value as the name of an entry, a place or a region."""
        value = self.text(name)
        if value and not NAME_PATTERN.fullmatch(value):
            self.add_failure(name, "not a name", "use letters, digits, - and _")
        return value

    def choice(self, name, known):
        """Return the value, which must be one of the known ones."""
        value = self.text(name)
        if value and value not in known:
            self.add_failure(name, "not a known value", suggest_name(value, list(known)))
        return value

    def integer(self, name, low=0, high=10**15):
        """Return the value as an integer within bounds."""
        return self._number(name, INTEGER_PATTERN, int, low, high, "a whole number")

    def number(self, name, low=0.0, high=1e9):
        """Return the value as a number within bounds."""
        return self._number(name, NUMBER_PATTERN, float, low, high, "a number")

    def seconds(self, name, low=0.001):
        """Return a positive time in seconds."""
        return self.number(name, low)

    def milliseconds(self, name, low=1):
        """Return a time given in milliseconds, in seconds."""
        return self.integer(name, low) / MS_PER_S

    def percent(self, name):
        """Return a percentage from 0 to 100."""
        return self.number(name, 0.0, 100.0)

    def _number(self, name, pattern, convert, low, high, expected):
        value = self.text(name)
        if not value:
            if not self.options.is_missing(self.section, name):
                self.add_failure(name, "empty", f"write {expected}")
            return low
        if not pattern.fullmatch(value):
            self.add_failure(name, f"not {expected}", "use digits without thousands marks or units")
            return low
        number = convert(value)
        if not math.isfinite(number) or not low <= number <= high:
            self.add_failure(
                name, "out of bounds", f"write {expected} from {low:.16g} to {high:.16g}"
            )
            return low
        return number

    def address(self, name, lowest_port=1):
        """Return an IP address and port as ``host:port``; host names are refused.

        A lowest port of zero admits listening addresses whose port the kernel chooses.
        """
        value = self.text(name)
        if value and parse_address(value, lowest_port) is None:
            self.add_failure(
                name, "not an IP address with a port", "write for example 10.0.0.1:8080"
            )
        return value

    def networks(self, name):
        """Return address blocks in CIDR form."""
        blocks = self.words(name)
        for block in blocks:
            try:
                ipaddress.ip_network(block)
            except ValueError:
                message = f"{block} is not an address block"
                self.add_failure(name, message, "write for example 10.0.0.0/8, host bits zero")
        return blocks

    def counts(self, name):
        """Return ``NAME:COUNT`` words as a dictionary."""
        count_by_name = {}
        for word in self.words(name):
            key, _, count = word.partition(":")
            if not NAME_PATTERN.fullmatch(key) or not re.fullmatch("[0-9]{1,6}", count):
                self.add_failure(
                    name, f"{word} is not of the form PLACE:COUNT", "write bne-north:3"
                )
            elif key in count_by_name:
                self.add_failure(name, f"{key} is given twice", "give each place once")
            else:
                count_by_name[key] = int(count)
        return count_by_name

    def methods(self, name):
        """Return HTTP methods as a frozen set."""
        words = self.words(name)
        for word in words:
            if not METHOD_PATTERN.fullmatch(word):
                self.add_failure(
                    name, f"{word} is not an HTTP method", "write for example GET HEAD"
                )
        return frozenset(words)
