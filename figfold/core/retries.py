"""Decides whether a request is retried after an attempt without an answer."""

from attrs import define

from figfold.core.budgets import TokenBudget
from figfold.core.latency_estimator import LatencyEstimator
from figfold.core.quarantine import Quarantine
from figfold.core.servers import DispatchOutcome


@define
class RetryPolicy:
    """Limits of retries: attempts per request, time left, quarantine and a budget.

    Attributes
    ----------
    max_attempts : int
        Attempts per request, without hedges.
    budget : TokenBudget
        Retries that the service may still make; each dispatch adds a fraction of one.
    """

    max_attempts: int
    quarantine: Quarantine
    estimator: LatencyEstimator
    budget: TokenBudget

    @classmethod
    def from_config(cls, options, quarantine, estimator):
        """Return the policy of a service's pool, with a full budget."""
        burst = options.retry_burst
        budget = TokenBudget.from_config(options.retry_percent, burst, burst)
        return cls(options.max_attempts, quarantine, estimator, budget)

    def admit(self, tracked, outcome, now_s):
        """Charge a retry to the budget; return why it is not allowed, or an empty string.

        Parameters
        ----------
        tracked : TrackedRequest
            A request that has neither an answer nor an attempt in progress.
        outcome : DispatchOutcome
            How its last attempt ended.
        now_s : float
            Current time.
        """
        request = tracked.request
        if outcome is DispatchOutcome.CANCELLED:
            return "cancelled"
        if tracked.may_have_run and not request.idempotent:
            return "not_idempotent"
        if tracked.attempts >= self.max_attempts:
            return "attempts"
        if now_s + self.estimator.duration_s(request.class_key) >= request.deadline_s:
            return "deadline"
        if self.quarantine.is_quarantined(request.fingerprint, now_s):
            return "quarantined"
        if not self.budget.try_spend():
            return "budget"
        return ""
