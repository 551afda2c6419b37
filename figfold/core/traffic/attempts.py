"""What follows the end of an attempt: another attempt, or which final answer."""

from enum import Enum

from attrs import frozen


class End(Enum):
    """How an attempt at a backend server ended."""

    ANSWERED = "answered"
    ERROR_ANSWERED = "error-answered"  # The server's own failure; it has run.
    NOT_RUN = "not-run"  # The server promises that it did not run the request.
    NOT_SENT = "not-sent"
    FAILED = "failed"  # It may have run.


class Step(Enum):
    """What to do next with a request."""

    RETRY = "retry"
    GIVE_ANSWER = "give-answer"
    REFUSE = "refuse"  # It has not run and never will.
    FAIL = "fail"  # It may have run.


@frozen
class Progress:
    """What has become of a request so far.

    Attributes
    ----------
    reached : int
        Backend servers that may have run it.
    may_have_run : bool
        Whether any attempt left that open.
    """

    reached: int = 0
    sent: int = 0
    may_have_run: bool = False


def follow(end, progress, route, time_left_s, needed_s):
    """Return the next step after an attempt and the reason for it.

    Parameters
    ----------
    end : End
    progress : Progress
        With the attempt that ended.
    route : Route
    time_left_s, needed_s : float
        Until the final answer is due, and for another attempt.

    Returns
    -------
    tuple[Step, str]
    """
    if end is End.ANSWERED:
        return Step.GIVE_ANSWER, "answered"
    final = Step.GIVE_ANSWER if end is End.ERROR_ANSWERED else _final(progress)
    if progress.may_have_run and not route.is_repeatable:
        return final, "not-repeatable"
    if end is End.ERROR_ANSWERED and not route.is_repeatable:
        return final, "not-repeatable"
    if end is not End.NOT_SENT and progress.reached >= route.max_attempts:
        return final, "attempts"
    if time_left_s <= needed_s:
        return final, "time"
    return Step.RETRY, end.value


def _final(progress):
    return Step.FAIL if progress.may_have_run else Step.REFUSE
