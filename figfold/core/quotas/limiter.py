"""An entry's side of the limits: admits requests by the shares that it owns or has been leased.

Tokens never exceed share times size of the bucket. The shares of all entries add up to one at
most, except for about a second after processes were restarted while their quota holder still runs.
Otherwise, the requests that all entries admit within ``w`` seconds are at most the size of the
bucket and ``w`` times the rate, and what is tolerated on top.
"""

from collections import deque
from math import inf

from attrs import Factory, define, frozen

from figfold.core.organisations.organisation import Organisation
from figfold.core.quotas.lender import Lender
from figfold.core.quotas.limits import (
    BASE_DELAY_S,
    DELEGATION_S,
    SLOW_WINDOW_S,
    WHOLE_TOKEN,
    DemandRate,
    bucket_size,
    deviation,
    is_limited,
)
from figfold.core.quotas.messages import QuotaDemand, QuotaRequest
from figfold.core.quotas.tolerance import Tolerance

# Between two requests to the quota holder, without anything to tell it.
IDLE_INTERVAL_S = 0.5
# Tolerance for a loop that runs a little early.
INTERVAL_SLACK_S = 0.02
# Age from which a reply is not repeated as a proof of contact.
MAX_ECHO_AGE_S = DELEGATION_S / 2
MIN_PER_S = 0.1  # Demand below this is that of a single past request.
# A demand is stated again once it differs by this fraction, or by this many usual deviations.
CHANGED_FRACTION = 0.15
CHANGED_DEVIATIONS = 1.5
SHORT_DEVIATIONS = 0.5  # Where requests run short of tokens.
# Time for which a permit can be used by a request that has waited for it.
PERMIT_S = 0.1
# Time for which the quota holder is not asked again after it had nothing for a request.
ASK_PAUSE_S = 0.2
FORGET_S = 30.0
MAX_RETRY_AFTER_S = 5.0
# Time until a share may have moved to an entry that has none.
NO_SHARE_RETRY_AFTER_S = 0.5
GOLDEN_RATIO = 0.6180339887498949  # Its multiples spread evenly over the unit interval.


@frozen
class Admission:
    """Whether a request is within its organisation's limit, else when it would be.

    Attributes
    ----------
    retry_after_s : float or None
        None for an admitted request.
    """

    is_admitted: bool
    retry_after_s: float | None = None


ADMITTED = Admission(True)


@define(eq=False)
class _Account:
    """Tokens and demand of one organisation at this entry.

    Attributes
    ----------
    promised_s, promised_before_s : float
        When the last of the refused requests, and the one before it, was told to return.
    is_short : bool
        Whether a request was refused since the quota holder was last told.
    """

    organisation: Organisation
    updated_s: float
    tokens: float = 0.0
    demand: DemandRate = Factory(DemandRate)
    last_request_s: float = -inf
    promised_s: float = -inf
    promised_before_s: float = -inf
    refusals: int = 0
    is_short: bool = False
    is_scarce: bool = False
    ask_after_s: float = -inf
    waiting: int = 0
    permits: int = 0
    permits_until_s: float = -inf
    # When requests were admitted without a token.
    tolerated_s: deque = Factory(deque)

    def stated_per_s(self, now_s):
        """Return the demand to be stated to a quota holder."""
        per_s = self.demand.per_s(now_s)
        return per_s if per_s >= MIN_PER_S else 0.0


@define(eq=False)
class QuotaLimiter:
    """Admits the requests of organisations with a limit at one entry.

    Attributes
    ----------
    name, incarnation : str, int
        This process.
    entry_count : int
        Number of entries that may be alive, each of which owns an equal base share.
    base_from_s : float
        When this process may use or delegate its base share; infinite until it is registered.
    tolerance : Tolerance
        Requests that may be admitted beyond the shares.
    """

    name: str
    incarnation: int
    entry_count: int = 1
    base_from_s: float = inf
    tolerance: Tolerance = Factory(Tolerance)
    _limit_by_name: dict = Factory(dict)
    _limited_since_by_name: dict = Factory(dict)
    _account_by_name: dict = Factory(dict)
    _lender: Lender | None = None
    _earlier_lenders: list = Factory(list)
    _delegated_until_s: float = -inf
    _delegate: tuple = ()
    _base_changed_s: float = -inf
    _sent_s: float = -inf

    @classmethod
    def from_config(cls, name, incarnation):
        """Return a limiter without limits, whose buckets are empty."""
        return cls(name, incarnation)

    # Limits and the base share.

    @property
    def has_limits(self):
        """Whether some organisation has a limit."""
        return bool(self._limit_by_name)

    def apply_limits(self, organisation_by_name, now_s):
        """Put the limits of a configuration in force; tokens above a lower limit are dropped."""
        limits = {name: one for name, one in organisation_by_name.items() if is_limited(one)}
        for name, account in list(self._account_by_name.items()):
            self._advance(account, now_s)
            if name not in limits:
                del self._account_by_name[name]
                continue
            account.organisation = limits[name]
            self._clamp(account, now_s)
        for name, limit in limits.items():
            known = self._limit_by_name.get(name)
            is_same = known is not None and _terms(known) == _terms(limit)
            if not is_same or name not in self._limited_since_by_name:
                self._limited_since_by_name[name] = now_s
        self._limited_since_by_name = {name: self._limited_since_by_name[name] for name in limits}
        self._limit_by_name = limits

    def set_entry_count(self, count, is_registered, now_s):
        """Set the number of entries that may be alive, this one included.

        Parameters
        ----------
        is_registered : bool
            Whether the other entries can know this one.
        """
        if is_registered and self.base_from_s == inf:
            self.base_from_s = now_s + BASE_DELAY_S
        if count != self.entry_count:
            if self._base_start_s() <= now_s:
                self._advance_all(now_s)
                self._base_changed_s = now_s
            self.entry_count = count
            for account in self._account_by_name.values():
                self._clamp(account, now_s)

    def _base_start_s(self):
        """Return from when on the base share is this entry's own to use."""
        return max(self.base_from_s, self._delegated_until_s)

    def share(self, name, at_s):
        """Return the share of an organisation's limit that this entry may use."""
        base_share = 1.0 / self.entry_count if at_s >= self._base_start_s() else 0.0
        return base_share + self._leased_share(name, at_s)

    def _leased_share(self, name, at_s):
        share = self._lender.share(name, at_s) if self._lender is not None else 0.0
        for lender in self._earlier_lenders:
            share += lender.share(name, at_s)
        return share

    # Requests of callers.

    def try_acquire(self, organisation, now_s):
        """Admit a request of an organisation, or tell when it would be admitted.

        Returns
        -------
        Admission
        """
        if not is_limited(organisation):
            return ADMITTED
        account = self._account(organisation, now_s)
        account.demand.count(now_s)
        account.last_request_s = now_s
        return self._take(account, now_s)

    def should_ask(self, organisation, now_s):
        """Return whether the quota holder may have tokens for a request that was refused here."""
        account = self._account_by_name.get(organisation.name)
        if account is None or account.is_scarce:
            return False
        return now_s >= account.ask_after_s

    def begin_wait(self, organisation):
        """Count a refused request that waits for the reply of the quota holder instead."""
        account = self._account_by_name.get(organisation.name)
        if account is not None:
            account.waiting += 1
            account.promised_s = account.promised_before_s

    def end_wait(self, organisation, now_s):
        """Admit a request that has waited, or tell when it would be admitted."""
        account = self._account(organisation, now_s)
        account.waiting = max(0, account.waiting - 1)
        admission = self._take(account, now_s)
        if not admission.is_admitted:
            account.ask_after_s = now_s + ASK_PAUSE_S
        return admission

    def _take(self, account, now_s):
        self._advance(account, now_s)
        if account.tokens >= WHOLE_TOKEN:
            account.tokens = max(0.0, account.tokens - 1.0)
            return ADMITTED
        if account.permits and now_s < account.permits_until_s:
            account.permits -= 1
            return ADMITTED
        if self._take_tolerated(account, now_s):
            return ADMITTED
        account.is_short = True
        return Admission(False, self._retry_after_s(account, now_s))

    def _take_tolerated(self, account, now_s):
        """Return whether a request is within this entry's part of what is tolerated."""
        since_s = now_s - self.tolerance.window_s
        # The former process of this entry may have used the part within the same window.
        if self.base_from_s > since_s:
            return False
        times_s = account.tolerated_s
        while times_s and times_s[0] <= since_s:
            times_s.popleft()
        part = self.tolerance.entry_part(account.organisation, self.name, self.entry_count)
        if len(times_s) >= part:
            return False
        times_s.append(now_s)
        return True

    def _retry_after_s(self, account, now_s):
        """Return the time until the next token that nobody else was told to come for."""
        account.refusals += 1
        account.promised_before_s = account.promised_s
        position = account.refusals * GOLDEN_RATIO % 1.0
        share = self.share(account.organisation.name, now_s)
        if share * bucket_size(account.organisation) < WHOLE_TOKEN:
            return NO_SHARE_RETRY_AFTER_S * (1.0 + position)
        token_s = 1.0 / (share * account.organisation.rate_per_s)
        first_s = now_s + (1.0 - account.tokens) * token_s
        due_s = max(first_s, account.promised_s + token_s)
        if due_s - now_s > MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S * (1.0 + position) / 2.0
        account.promised_s = due_s
        return due_s - now_s

    # Tokens.

    def _account(self, organisation, now_s):
        name = organisation.name
        account = self._account_by_name.get(name)
        if account is None:
            limit = self._limit_by_name.get(name, organisation)
            since_s = max(
                self._base_start_s(),
                self._base_changed_s,
                self._limited_since_by_name.get(name, now_s),
            )
            # The base share has been filling a bucket that nobody has asked for.
            account = _Account(limit, min(now_s, since_s))
            self._account_by_name[name] = account
        return account

    def _advance(self, account, now_s):
        """Fill the bucket up to a time, by the share of each moment until then."""
        began_s = account.updated_s
        if now_s <= began_s:
            return
        ends = [one.until_s for one in self._earlier_lenders]
        if self._lender is not None:
            ends.append(self._lender.until_s)
        ends = sorted(one for one in (*ends, self._base_start_s()) if began_s < one < now_s)
        name, size = account.organisation.name, bucket_size(account.organisation)
        rate = account.organisation.rate_per_s
        for end_s in (*ends, now_s):
            share = self.share(name, began_s)
            tokens = min(account.tokens, share * size) + share * rate * (end_s - began_s)
            account.tokens = min(tokens, share * size)
            began_s = end_s
        account.updated_s = now_s
        self._clamp(account, now_s)

    def _clamp(self, account, now_s):
        size = bucket_size(account.organisation)
        account.tokens = min(account.tokens, self.share(account.organisation.name, now_s) * size)

    def _advance_all(self, now_s):
        for account in self._account_by_name.values():
            self._advance(account, now_s)

    # Exchange with the quota holder.

    def next_request(self, holder, now_s, is_urgent=False):
        """Return the `QuotaRequest` that is due to a quota holder now, or None.

        Parameters
        ----------
        holder : str
            Name of the quota holder.
        is_urgent : bool
            Whether a request of a caller waits for the reply.
        """
        self._forget_idle(now_s)
        lender = self._lender
        if lender is None or lender.name != holder:
            lender = None
        is_whole = lender is None or not lender.is_informed
        demands = self._demands(lender, is_whole, now_s)
        is_due = now_s - self._sent_s >= IDLE_INTERVAL_S - INTERVAL_SLACK_S
        is_due = is_due or self.is_reduced
        if not (demands or is_due or is_urgent):
            return None
        self._sent_s = now_s
        is_current = lender is not None and now_s - lender.received_s <= MAX_ECHO_AGE_S
        if lender is not None:
            # Until the reply arrives, the lender may not have received the demands.
            lender.is_informed = lender.is_reduced = False
        return QuotaRequest(
            name=self.name,
            incarnation=self.incarnation,
            is_whole=is_whole,
            echo_incarnation=lender.incarnation if is_current else 0,
            echo_stamp=lender.stamp if is_current else 0,
            base_share=self._delegate_base(lender, now_s) if is_current else 0.0,
            demands=demands,
        )

    def _demands(self, lender, is_whole, now_s):
        demands = []
        for name, account in self._account_by_name.items():
            per_s = account.stated_per_s(now_s)
            stated = 0.0 if is_whole or lender is None else lender.stated_by_name.get(name, 0.0)
            is_short = (account.is_short or account.waiting) and not account.is_scarce
            is_changed = _has_changed(stated, per_s, is_short)
            if not is_short and not is_changed:
                continue
            if not is_changed:
                # A shortage follows upon requests, when the rate is above its mean.
                per_s = stated
            account.is_short = False
            self._advance(account, now_s)
            demands.append(QuotaDemand(name, per_s, tokens=account.tokens, waiting=account.waiting))
        return tuple(demands)

    def _delegate_base(self, lender, now_s):
        """Give up the base share until the delegation ends, and return it."""
        until_s = lender.received_s + DELEGATION_S
        delegate = (lender.name, lender.incarnation)
        if now_s < self.base_from_s or until_s <= now_s:
            return 0.0
        if now_s < self._delegated_until_s and delegate != self._delegate:
            return 0.0
        if self._base_start_s() <= now_s:
            self._advance_all(now_s)
        self._delegate = delegate
        self._delegated_until_s = max(self._delegated_until_s, until_s)
        for account in self._account_by_name.values():
            self._clamp(account, now_s)
        return 1.0 / self.entry_count

    def apply_reply(self, holder, request, reply, asked_s, now_s):
        """Apply the leases of a quota holder's reply to a request that was sent at ``asked_s``."""
        lender = self._lender
        if lender is None or (lender.name, lender.incarnation) != (holder, reply.incarnation):
            if lender is not None:
                self._earlier_lenders.append(lender)
            lender = self._lender = Lender(holder, reply.incarnation)
        lease_by_name = lender.record_reply(request, reply, asked_s, now_s)
        if lease_by_name is None:
            return
        self._earlier_lenders = [one for one in self._earlier_lenders if one.until_s > now_s]
        names = lender.names_to_fill(lease_by_name, now_s)
        # The buckets are filled by the earlier shares before these change.
        for name in names & self._limit_by_name.keys():
            self._advance(self._account(self._limit_by_name[name], now_s), now_s)
        lender.apply_shares(lease_by_name, asked_s + reply.duration_s, now_s, False)
        for name in names & self._limit_by_name.keys():
            self._apply_lease(name, lease_by_name.get(name), now_s)

    def _apply_lease(self, name, lease, now_s):
        account = self._account_by_name[name]
        if lease is not None:
            account.tokens += lease.tokens
            account.is_scarce = lease.is_scarce
            if lease.permits:
                account.permits, account.permits_until_s = lease.permits, now_s + PERMIT_S
        self._clamp(account, now_s)

    @property
    def is_reduced(self):
        """Whether the quota holder waits to hear that a smaller share has arrived."""
        return self._lender is not None and self._lender.is_reduced

    def record_failure(self, holder):
        """Record that a quota holder did not reply."""
        if self._lender is not None and self._lender.name == holder:
            self._lender.is_informed = False

    def _forget_idle(self, now_s):
        """Forget the organisations without requests, unless a new bucket would hold more."""
        for name, account in list(self._account_by_name.items()):
            if now_s - account.last_request_s < FORGET_S or self._leased_share(name, now_s):
                continue
            self._advance(account, now_s)
            share = self.share(name, now_s)
            if account.tokens >= share * bucket_size(account.organisation):
                del self._account_by_name[name]


def _terms(organisation):
    return organisation.rate_per_s, organisation.burst


def _has_changed(stated, per_s, is_short):
    """Return whether a demand differs from the stated one by more than it usually does."""
    if not stated or not per_s:
        return stated != per_s
    usual = (SHORT_DEVIATIONS if is_short else CHANGED_DEVIATIONS) * deviation(
        max(stated, per_s), SLOW_WINDOW_S
    )
    return abs(per_s - stated) > max(CHANGED_FRACTION * stated, usual)
