"""Periodic tasks of the daemon, which continue after errors."""

import eventlet

from figfold.entry.clock import now_s


def run_every(interval_s, step, name, metrics, log):
    """Call ``step`` for ever, ``interval_s`` after the previous call began.

    An unexpected error is counted and logged and does not end the loop, since the entry would
    otherwise keep working with outdated data.
    """
    while True:
        started = now_s()
        try:
            step()
        except Exception as error:
            metrics.count("loop_errors", loop=name)
            log.opt(exception=error).error("loop step failed", loop=name)
        eventlet.sleep(max(0.0, interval_s - (now_s() - started)))
