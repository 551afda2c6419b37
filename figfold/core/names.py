"""Names that entries tell each other: of servers, services, data centres and entries."""

import re

MAX_NAME_CHARS = 128
NAME_PATTERN = re.compile(rf"[A-Za-z0-9_][A-Za-z0-9_.:\[\]-]{{0,{MAX_NAME_CHARS - 1}}}")


def is_name(text):
    """Return whether the text is a name that can be sent to other entries."""
    return NAME_PATTERN.fullmatch(text) is not None
