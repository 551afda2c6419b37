"""End of an entry: no request that was accepted is cut off."""

import eventlet

from figfold.entry.clock import now_s

POLL_S = 0.02
# Time without a request after which a stopping entry accepts no more.
QUIET_S = 0.3
# Time for the heads of the last requests to be read.
LAST_HEADS_S = 0.1


def finish_requests(app, listener, accept_until_s, until_s):
    """Wait until all requests that were accepted have been answered.

    A request that was just accepted is not in progress until its head has been read. New ones are
    accepted until none has come for a while.

    Parameters
    ----------
    app : RequestApp
    listener : StoppableListener
    accept_until_s, until_s : float
        When no more are accepted, and when the wait ends, in monotonic seconds.
    """
    started, quiet_since_s = app.started, now_s()
    while now_s() < min(accept_until_s, quiet_since_s + QUIET_S):
        if app.in_progress or app.started != started:
            started, quiet_since_s = app.started, now_s()
        eventlet.sleep(POLL_S)
    listener.stop()
    stopped_s = now_s()
    while now_s() < until_s and (app.in_progress or now_s() < stopped_s + LAST_HEADS_S):
        eventlet.sleep(POLL_S)
