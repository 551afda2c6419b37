"""Decides what follows an attempt at a backend server: a retry or the final answer."""

from enum import Enum

from attrs import frozen


class AttemptOutcome(Enum):
    """Outcome of an attempt at a backend server."""

    ANSWERED = "answered"
    ERROR_ANSWERED = "error-answered"  # The server ran the request and answered with an error.
    NOT_RUN = "not-run"  # The server states that it did not run the request.
    NOT_SENT = "not-sent"  # No part of the request was sent.
    FAILED = "failed"  # The server may have run the request.


class NextStep(Enum):
    """What to do with a request after an attempt has ended."""

    RETRY = "retry"
    GIVE_ANSWER = "give-answer"
    REFUSE = "refuse"  # No server has run the request, or will run it.
    FAIL = "fail"  # A server may have run the request.


@frozen
class RequestProgress:
    """What is known of a request from its attempts so far.

    Attributes
    ----------
    reached_attempts : int
        Ended attempts that may have run at their server.
    started_attempts : int
        Attempts started.
    may_have_run : bool
        Whether a failed attempt may have run the request.
    """

    reached_attempts: int = 0
    started_attempts: int = 0
    may_have_run: bool = False


def decide_next_step(outcome, progress, route, time_left_s, needed_s):
    """Return the next step after an attempt, and the reason for it.

    Parameters
    ----------
    outcome : AttemptOutcome
    progress : RequestProgress
        Including the attempt that has ended.
    route : Route
    time_left_s : float
        Time until the final answer is due.
    needed_s : float
        Expected duration of another attempt.

    Returns
    -------
    tuple[NextStep, str]
    """
    if outcome is AttemptOutcome.ANSWERED:
        return NextStep.GIVE_ANSWER, "answered"
    final = (
        NextStep.GIVE_ANSWER
        if outcome is AttemptOutcome.ERROR_ANSWERED
        else _failure_step(progress)
    )
    if progress.may_have_run and not route.is_repeatable:
        return final, "not-repeatable"
    if outcome is AttemptOutcome.ERROR_ANSWERED and not route.is_repeatable:
        return final, "not-repeatable"
    if outcome is not AttemptOutcome.NOT_SENT and progress.reached_attempts >= route.max_attempts:
        return final, "attempts"
    if time_left_s <= needed_s:
        return final, "time"
    return NextStep.RETRY, outcome.value


def _failure_step(progress):
    return NextStep.FAIL if progress.may_have_run else NextStep.REFUSE
