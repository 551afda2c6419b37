"""Counts unexpected errors of the WSGI applications, and logs each kind once."""

import traceback
from pathlib import Path

from attrs import Factory, define
from eventlet import Timeout

from figfold.entry.metrics import Metrics

# eventlet's Timeout is not derived from Exception.
UNEXPECTED = (Exception, Timeout)
# Number of innermost calls that a log line names.
CALLS_LOGGED = 3


@define(eq=False)
class AppErrors:
    """Records the unexpected errors of one port's application.

    Attributes
    ----------
    port : str
        Name of the port in the counter and in the log.
    """

    port: str
    metrics: Metrics
    log: object
    _logged: set[tuple[str, str]] = Factory(set)

    def record_error(self, error):
        """Count an error, and log it if it is the first one of its type and location.

        The text of the error is not logged, since it may contain data of the caller.
        """
        kind = type(error).__name__
        self.metrics.count("app_errors", port=self.port, kind=kind)
        location = _location_of(error)
        if (kind, location) in self._logged:
            return
        self._logged.add((kind, location))
        self.log.error("unexpected error", port=self.port, kind=kind, location=location)


def _location_of(error):
    """Return files and lines of the innermost calls, innermost last."""
    frames = traceback.extract_tb(error.__traceback__)[-CALLS_LOGGED:]
    return " ".join(f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames)
