"""Configures structured logs, as text or JSON."""

import json
import sys

from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}"


def configure_logging(log, entry_name):
    """Log to standard error as the ``[log]`` settings say; return the entry's logger."""
    logger.remove()
    if log.format == "json":
        logger.add(_write_json, level=log.level)
    else:
        logger.add(sys.stderr, level=log.level, format=TEXT_FORMAT, colorize=False)
    return logger.bind(entry=entry_name)


def _write_json(message):
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
    }
    line |= record["extra"]
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)
