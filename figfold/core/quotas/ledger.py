"""A quota holder's side of the limits: what is delegated to it, borrowed and lent.

At every future moment, the shares lent beyond it are at most those delegated and borrowed beyond
it. So the holder needs no contact with anybody to keep its promises.
"""

from math import ceil, inf, sqrt

from attrs import Factory, define

from figfold.core.organisations.organisation import Organisation
from figfold.core.quotas.lender import Lender
from figfold.core.quotas.limits import (
    DELEGATION_S,
    ENTRY_LEASE_S,
    REGION_LEASE_S,
    WHOLE_TOKEN,
    bucket_size,
    is_limited,
)
from figfold.core.quotas.messages import QuotaDemand, QuotaLease, QuotaReply, QuotaRequest

US_PER_S = 1_000_000
# Fraction of a limit that is not lent, so that a new borrower gets some at once.
RESERVE = 0.03
# Fraction that is not lent unless demand is far above, for tokens to whoever runs short.
UNLENT_FRACTION = 0.2
# Part of an entry, in requests, below which its bucket is full or empty most of the time.
SMALL_TOKENS = 3.0
MIN_LEASE_PER_S = 0.5  # Demand of an entry below which it asks for each request.
# Further fraction that is not lent to entries of small parts.
UNLENT_FRACTION_FOR_SMALL = 0.2
# Demand, as a fraction of what there is, up to which entries of small parts keep or get a lease.
# Above it, what their buckets lose is needed elsewhere.
KEEP_FRACTION = 0.65
GIVE_FRACTION = 0.55
# Fraction up to which a limit is lent without dividing it first.
AMPLE_FRACTION = 0.4
# Level to which the bucket of a borrower that runs short is filled, as a fraction of its size.
TOP_UP_LEVEL = 0.5
TOP_UP_FRACTION = 0.5  # Of the tokens that are not lent, for one borrower that runs short.
ENTRY_HEADROOM = 1.2  # Factor of its demand that an entry is lent while little is in use.
# Largest margin for the usual deviation of a region's demand, as a fraction of it.
MAX_MARGIN = 0.25
REGION_HEADROOM = 1.1  # Factor of its demand that a region borrows.
LENDER_HEADROOM = 1.05  # Factor of its own demand that a region keeps before it lends.
MIN_LOAN = 0.02  # Smallest share that is lent to other regions.
# Demand above what there is by this factor is refused without asking again.
SCARCE_FACTOR = 2.0
SCARCE_PER_S = 20.0  # Less demand causes few messages.
# Factor of the entries that are enough to use a limit, which get a lease while it is scarce.
FILL_HEADROOM = 1.3
CHANGED_FRACTION = 0.1  # Change of a share from which a borrower is told.
REBALANCE_INTERVAL_S = 0.05
# What has ended counts as lent for this much longer at most.
EXPIRE_INTERVAL_S = 0.05
MAX_DELEGATED_SHARE = 1.0
ROUNDING = 1e-9  # Of sums of shares.


@define
class _Delegation:
    """Base share of an entry and when it ends, and larger ones of earlier requests."""

    share: float
    until_s: float
    earlier: list = Factory(list)

    def at(self, at_s):
        """Return the share that is delegated at a time."""
        delegated = (self.share, self.until_s), *self.earlier
        return max((share for share, until_s in delegated if at_s < until_s), default=0.0)

    def renew(self, share, until_s, now_s):
        """Apply a later request; a larger share that was delegated before stays until its end."""
        if share < self.share:
            self.earlier.append((self.share, self.until_s))
        self.earlier = [one for one in self.earlier if one[0] > share and one[1] > now_s]
        self.share = share
        self.until_s = max(self.until_s, until_s)

    @property
    def ends_s(self):
        """When nothing is delegated any more."""
        return max((until_s for _, until_s in self.earlier), default=self.until_s)


@define
class _Loan:
    """Share of one limit that a borrower has.

    Attributes
    ----------
    share : float
        The share that was last granted.
    target : float
        Share that the borrower should have.
    earlier : list[tuple[float, float]]
        Larger shares that were granted before, with the ends of their leases.
    """

    share: float = 0.0
    target: float = 0.0
    is_scarce: bool = False
    earlier: list = Factory(list)

    @property
    def counted(self):
        """Largest share that the borrower may still use."""
        return max((share for share, _ in self.earlier), default=self.share)

    def grant(self, share, until_s):
        """Change the share; the present one can be in use until the end of its lease."""
        if share < self.share:
            self.earlier.append((self.share, until_s))
        self.share = share
        self.earlier = [one for one in self.earlier if one[0] > share]

    def settle(self, now_s):
        """Forget the earlier shares of leases that have ended."""
        self.earlier = [one for one in self.earlier if one[1] > now_s]


@define(eq=False)
class _Borrower:
    """A process that borrows: an entry, or the quota holder of another region.

    Attributes
    ----------
    demand_by_name : dict[str, float]
        Requests per second of entries, wanted shares of regions.
    reduced : set[str]
        Organisations with a loan that counts for more than its share.
    pending : set[str]
        Organisations of which it has to be told.
    """

    is_region: bool
    until_s: float = -inf
    stamp: int = 0
    demand_by_name: dict[str, float] = Factory(dict)
    loan_by_name: dict[str, _Loan] = Factory(dict)
    reduced: set = Factory(set)
    pending: set = Factory(set)


@define(eq=False)
class _Pool:
    """What is not lent of one limit, and the demand for it.

    Attributes
    ----------
    lent : float
        Sum of the shares that borrowers may use.
    need : float
        Share that the entries of the region need.
    """

    organisation: Organisation
    updated_s: float
    tokens: float = 0.0
    lent: float = 0.0
    need: float = 0.0
    borrowers: dict = Factory(dict)
    balanced_s: float = -inf
    is_dirty: bool = False
    is_scarce: bool = False

    @property
    def size(self):
        """Number of tokens for a share of one."""
        return bucket_size(self.organisation)


@define(eq=False)
class QuotaLedger:
    """Lends the shares that entries have delegated to this process."""

    name: str
    incarnation: int
    _limit_by_name: dict = Factory(dict)
    _limited_since_by_name: dict = Factory(dict)
    _pool_by_name: dict = Factory(dict)
    _delegation_by_process: dict = Factory(dict)
    _borrower_by_process: dict = Factory(dict)
    _lender_by_region: dict = Factory(dict)
    _earlier_lenders: list = Factory(list)
    _base_raised_s: float = -inf
    _balanced_base: float = 0.0
    _stamp: int = 0
    _expired_s: float = -inf

    @classmethod
    def from_config(cls, name, incarnation):
        """Return a ledger to which nothing is delegated."""
        return cls(name, incarnation)

    def apply_limits(self, organisation_by_name, now_s):
        """Put the limits of a configuration in force; all shares scale with them."""
        limits = {name: one for name, one in organisation_by_name.items() if is_limited(one)}
        for name, pool in list(self._pool_by_name.items()):
            self._fill(pool, now_s)
            if name not in limits:
                self._drop_pool(name)
                continue
            pool.organisation = limits[name]
            pool.is_dirty = True
            self._clamp(pool, now_s)
        for name, limit in limits.items():
            known = self._limit_by_name.get(name)
            if known is None or (known.rate_per_s, known.burst) != (limit.rate_per_s, limit.burst):
                self._limited_since_by_name[name] = now_s
        self._limited_since_by_name = {name: self._limited_since_by_name[name] for name in limits}
        self._limit_by_name = limits

    def _drop_pool(self, name):
        for borrower in self._pool_by_name.pop(name).borrowers.values():
            borrower.loan_by_name.pop(name, None)
            borrower.demand_by_name.pop(name, None)
            borrower.reduced.discard(name)
            borrower.pending.discard(name)

    # Shares that are delegated or borrowed.

    def _base(self, at_s):
        return sum(one.at(at_s) for one in self._delegation_by_process.values())

    def _supply(self, name, at_s):
        """Return the share of a limit that this process may use or lend until a time."""
        supply = self._base(at_s)
        for lender in (*self._lender_by_region.values(), *self._earlier_lenders):
            supply += lender.share(name, at_s)
        return supply

    def _take_delegation(self, request, now_s):
        if request.echo_incarnation != self.incarnation or not request.base_share:
            return
        until_s = request.echo_stamp / US_PER_S + DELEGATION_S
        share = min(request.base_share, MAX_DELEGATED_SHARE)
        process = (request.name, request.incarnation)
        known = self._delegation_by_process.get(process)
        if until_s <= now_s:
            return
        if known is None or known.at(now_s) < share:
            # Until now, the buckets fill by what was there before.
            for pool in self._pool_by_name.values():
                self._fill(pool, now_s)
            self._base_raised_s = now_s
        if known is None:
            self._delegation_by_process[process] = _Delegation(share, until_s)
            return
        known.renew(share, until_s, now_s)

    def _fill(self, pool, now_s):
        """Fill the bucket of what is not lent.

        Since the last time, nothing was added without filling the bucket before, so that at least
        the present supply was there throughout.
        """
        name = pool.organisation.name
        if now_s > pool.updated_s:
            share = max(0.0, self._supply(name, now_s) - pool.lent)
            filled = share * pool.organisation.rate_per_s * (now_s - pool.updated_s)
            pool.tokens += filled
            pool.updated_s = now_s
        self._clamp(pool, now_s)

    def _clamp(self, pool, now_s):
        share = max(0.0, self._supply(pool.organisation.name, now_s) - pool.lent)
        pool.tokens = min(pool.tokens, share * pool.size)

    def _pool(self, name, now_s):
        """Return the pool of an organisation, filled up to now; None if it has no limit."""
        pool = self._pool_by_name.get(name)
        if pool is None:
            if name not in self._limit_by_name:
                return None
            since_s = max(self._base_raised_s, self._limited_since_by_name[name])
            pool = _Pool(self._limit_by_name[name], min(now_s, since_s))
            self._pool_by_name[name] = pool
        self._fill(pool, now_s)
        return pool

    # Requests of borrowers.

    def handle(self, request, now_s):
        """Take a delegation, and renew and change the leases of the sender.

        Returns
        -------
        QuotaReply
        """
        self._expire(now_s)
        self._take_delegation(request, now_s)
        process = (request.name, request.incarnation, request.is_region)
        borrower = self._borrower_by_process.get(process)
        if borrower is None:
            borrower = self._borrower_by_process[process] = _Borrower(request.is_region)
        is_in_step = borrower.stamp > 0 and (
            (request.echo_incarnation, request.echo_stamp) == (self.incarnation, borrower.stamp)
        )
        if is_in_step and request.is_settled:
            self._settle(borrower, now_s, inf)
        named = self._take_demands(process, borrower, request, now_s)
        duration_s = REGION_LEASE_S if borrower.is_region else ENTRY_LEASE_S
        end_s = now_s + duration_s
        demand_by_name = {one.organisation: one for one in request.demands}
        told = named | borrower.pending | self._uncovered(borrower, end_s)
        leases = [
            self._grant(borrower, self._pool(name, now_s), demand_by_name.get(name), now_s)
            for name in sorted(told)
            if name in self._pool_by_name
        ]
        if not is_in_step:
            kept = [
                QuotaLease(name, loan.share, is_scarce=loan.is_scarce)
                for name, loan in borrower.loan_by_name.items()
                if name not in told and loan.share > 0.0
            ]
            leases += kept
        borrower.pending.clear()
        self._drop_ended_loans(borrower)
        borrower.until_s = end_s
        self._stamp = max(self._stamp + 1, int(now_s * US_PER_S))
        borrower.stamp = self._stamp
        return QuotaReply(self.incarnation, self._stamp, duration_s, not is_in_step, tuple(leases))

    def _take_demands(self, process, borrower, request, now_s):
        """Update the demand of a borrower; return the names of which it has to be told."""
        changed = {}
        if request.is_whole:
            changed = dict.fromkeys(borrower.demand_by_name, 0.0)
        for one in request.demands:
            changed[one.organisation] = one.share if borrower.is_region else one.per_s
        for name, demand in changed.items():
            pool = self._pool(name, now_s)
            if pool is None:
                continue
            pool.borrowers[process] = borrower
            borrower.loan_by_name.setdefault(name, _Loan())
            if demand > 0.0:
                borrower.demand_by_name[name] = demand
            else:
                borrower.demand_by_name.pop(name, None)
            self._rebalance_if_due(pool, borrower, demand, now_s)
        return {name for name in changed if name in self._pool_by_name}

    def _rebalance_if_due(self, pool, borrower, demand, now_s):
        if now_s - pool.balanced_s >= REBALANCE_INTERVAL_S:
            self._rebalance(pool, now_s)
            return
        pool.is_dirty = True
        name = pool.organisation.name
        want = _want(pool, demand)
        used = max(pool.lent, pool.need) + want
        if borrower.is_region or 0.0 < demand < MIN_LEASE_PER_S:
            return
        if used <= AMPLE_FRACTION * self._base(now_s):
            borrower.loan_by_name[name].target = want

    def _uncovered(self, borrower, end_s):
        """Return the names of loans that cannot be renewed as they are."""
        uncovered = set()
        if not borrower.loan_by_name:
            return uncovered
        base = self._base(end_s)
        lenders = (*self._lender_by_region.values(), *self._earlier_lenders)
        for name in borrower.loan_by_name:
            lent = self._pool_by_name[name].lent
            if lent > base + ROUNDING:
                borrowed = sum(one.share(name, end_s) for one in lenders)
                if lent > base + borrowed + ROUNDING:
                    uncovered.add(name)
        return uncovered

    def _grant(self, borrower, pool, demand, now_s):
        """Move a loan to its target as far as what is there allows, and return the lease."""
        name = pool.organisation.name
        loan = borrower.loan_by_name[name]
        end_s = now_s + (REGION_LEASE_S if borrower.is_region else ENTRY_LEASE_S)
        free_before = self._supply(name, now_s) - pool.lent
        others = pool.lent - loan.counted
        room = max(0.0, self._supply(name, end_s) - others)
        # Sums of shares can be above one by a rounding error.
        share = min(loan.target, room, 1.0)
        added = max(0.0, share - loan.counted)
        loan.grant(share, borrower.until_s)
        if loan.earlier:
            borrower.reduced.add(name)
        pool.lent += added
        tokens = pool.tokens * min(1.0, added / free_before) if free_before > 0.0 else 0.0
        permits = 0
        if demand is not None and not borrower.is_region:
            if share * pool.size >= WHOLE_TOKEN:
                # A full bucket would lose what its own share adds.
                wanted = max(demand.waiting, TOP_UP_LEVEL * share * pool.size)
                lacking = max(0.0, min(wanted, share * pool.size) - demand.tokens - tokens)
                tokens += min(lacking, TOP_UP_FRACTION * (pool.tokens - tokens))
            if demand.waiting and min(demand.tokens + tokens, share * pool.size) < WHOLE_TOKEN:
                permits = min(demand.waiting, int(pool.tokens - tokens))
        tokens = max(0.0, tokens)
        pool.tokens -= tokens + permits
        self._clamp(pool, now_s)
        return QuotaLease(name, share, tokens, permits, loan.is_scarce)

    def _settle(self, borrower, now_s, ended_s):
        """Forget the earlier, larger shares whose leases ended before a time."""
        for name in list(borrower.reduced):
            loan, pool = borrower.loan_by_name[name], self._pool(name, now_s)
            counted = loan.counted
            loan.settle(ended_s)
            if loan.counted < counted:
                pool.lent = max(0.0, pool.lent + loan.counted - counted)
                pool.is_dirty = True
            if not loan.earlier:
                borrower.reduced.discard(name)

    def _drop_ended_loans(self, borrower):
        for name, loan in list(borrower.loan_by_name.items()):
            if not loan.counted and not loan.share and name not in borrower.demand_by_name:
                del borrower.loan_by_name[name]
                self._forget_borrower(name, borrower)

    def _forget_borrower(self, name, borrower):
        borrowers = self._pool_by_name[name].borrowers
        for process in [one for one, known in borrowers.items() if known is borrower]:
            del borrowers[process]

    def _expire(self, now_s):
        """Take back what borrowers no longer hold, and forget delegations that have ended."""
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        for process, borrower in list(self._borrower_by_process.items()):
            if borrower.until_s <= now_s:
                self._remove_borrower(process, borrower, now_s)
            elif borrower.reduced:
                self._settle(borrower, now_s, now_s)
        for process, delegation in list(self._delegation_by_process.items()):
            if max(delegation.until_s, delegation.ends_s) <= now_s:
                del self._delegation_by_process[process]

    def _remove_borrower(self, process, borrower, now_s):
        del self._borrower_by_process[process]
        for name, loan in borrower.loan_by_name.items():
            pool = self._pool(name, now_s)
            pool.lent = max(0.0, pool.lent - loan.counted)
            pool.borrowers.pop(process, None)
            pool.is_dirty = True

    # Division of a limit among borrowers.

    def tick(self, now_s):
        """Divide again what has changed; to be called at each interval."""
        self._expire(now_s)
        self._earlier_lenders = [one for one in self._earlier_lenders if one.until_s > now_s]
        base = self._base(now_s + ENTRY_LEASE_S)
        has_changed = abs(base - self._balanced_base) > CHANGED_FRACTION * self._balanced_base
        if has_changed:
            self._balanced_base = base
        for lender in self._lender_by_region.values():
            lender.drop_ended(now_s)
        for pool in self._pool_by_name.values():
            if pool.is_dirty or (pool.borrowers and has_changed):
                self._fill(pool, now_s)
                self._rebalance(pool, now_s)

    def _rebalance(self, pool, now_s):
        """Set the target of each borrower of a limit."""
        name = pool.organisation.name
        pool.is_dirty, pool.balanced_s = False, now_s
        demand_by_entry, want_by_region = {}, {}
        for process, borrower in pool.borrowers.items():
            demand = borrower.demand_by_name.get(name, 0.0)
            (want_by_region if borrower.is_region else demand_by_entry)[process] = demand
        demand = sum(demand_by_entry.values())
        rate = pool.organisation.rate_per_s
        pool.need = 0.0
        if demand > 0.0:
            need = (REGION_HEADROOM * demand + min(sqrt(demand), MAX_MARGIN * demand)) / rate
            pool.need = max(need, 1.0 / pool.size)
        base = self._base(now_s + REGION_LEASE_S)
        own_need = (LENDER_HEADROOM * demand + 0.5 * sqrt(demand)) / rate
        spare = max(0.0, (1.0 - RESERVE) * base - own_need)
        target_by_process = _share_spare(want_by_region, spare)
        left = self._supply(name, now_s + ENTRY_LEASE_S) * (1.0 - RESERVE)
        left = max(0.0, left - sum(target_by_process.values()))
        pool.is_scarce = demand > max(SCARCE_FACTOR * left * rate, SCARCE_PER_S)
        holding = {
            process
            for process, borrower in pool.borrowers.items()
            if borrower.loan_by_name[name].share > 0.0
        }
        divide = _divide_scarce if pool.is_scarce else _divide
        target_by_process |= divide(demand_by_entry, left, pool, holding)
        for process, borrower in pool.borrowers.items():
            self._set_target(borrower, name, target_by_process[process], pool.is_scarce)

    def _set_target(self, borrower, name, target, is_scarce):
        loan = borrower.loan_by_name[name]
        loan.target = target
        is_other = abs(target - loan.share) > CHANGED_FRACTION * loan.share
        if is_other or is_scarce is not loan.is_scarce:
            borrower.pending.add(name)
        loan.is_scarce = is_scarce

    # Loans of other regions.

    def next_region_request(self, region, holder, now_s):
        """Return the `QuotaRequest` that is due to the quota holder of another region, or None.

        There is none while this region needs no more than its own shares and has borrowed nothing.
        """
        lender = self._lender_by_region.get(region)
        if lender is not None and lender.name != holder:
            self._earlier_lenders.append(self._lender_by_region.pop(region))
            lender = None
        is_whole = lender is None or not lender.is_informed
        base = self._base(now_s + ENTRY_LEASE_S)
        demands = []
        for name, pool in self._pool_by_name.items():
            want = self._region_want(name, pool, region, base, now_s)
            stated = 0.0 if is_whole else lender.stated_by_name.get(name, 0.0)
            if abs(want - stated) > CHANGED_FRACTION * stated:
                demands.append(QuotaDemand(name, 0.0, want))
        if not demands and (lender is None or not lender.is_lending(now_s)):
            return None
        is_settled = lender is not None and self._is_settled(lender, now_s)
        if lender is not None:
            lender.is_informed = False
            lender.is_reduced = lender.is_reduced and not is_settled
        return QuotaRequest(
            name=self.name,
            incarnation=self.incarnation,
            is_region=True,
            is_whole=is_whole,
            is_settled=is_settled,
            echo_incarnation=lender.incarnation if lender else 0,
            echo_stamp=lender.stamp if lender else 0,
            demands=tuple(demands),
        )

    def _is_settled(self, lender, now_s):
        """Return whether nothing is lent on that has to be given back to a lender."""
        for name in list(lender.earlier_by_name):
            pool = self._pool(name, now_s)
            end_s = now_s + ENTRY_LEASE_S
            others = (*self._lender_by_region.values(), *self._earlier_lenders)
            supply = self._base(end_s)
            if lender.until_s > end_s:
                supply += lender.share_by_name.get(name, 0.0)
            supply += sum(one.share(name, end_s) for one in others if one is not lender)
            if pool is not None and pool.lent > supply + ROUNDING:
                return False
        for name in list(lender.earlier_by_name):
            del lender.earlier_by_name[name]
            if name in self._pool_by_name:
                self._clamp(self._pool_by_name[name], now_s)
        return True

    def _region_want(self, name, pool, region, base, now_s):
        """Return the share to borrow from a region: its part of the loans, and all that lacks."""
        deficit = pool.need - base
        if deficit <= 0.0:
            return 0.0
        share_by_region = {
            other: lender.share_by_name.get(name, 0.0) if now_s < lender.until_s else 0.0
            for other, lender in self._lender_by_region.items()
        }
        borrowed = sum(share_by_region.values())
        own = share_by_region.get(region, 0.0)
        if borrowed >= deficit:
            return own * deficit / borrowed
        return min(1.0, own + deficit - borrowed)

    def apply_region_reply(self, region, holder, request, reply, asked_s, now_s):
        """Apply the leases of another region's quota holder."""
        lender = self._lender_by_region.get(region)
        if lender is None or (lender.name, lender.incarnation) != (holder, reply.incarnation):
            if lender is not None:
                self._earlier_lenders.append(lender)
            lender = self._lender_by_region[region] = Lender(holder, reply.incarnation)
        lease_by_name = lender.record_reply(request, reply, asked_s, now_s)
        if lease_by_name is None:
            return
        names = lender.names_to_fill(lease_by_name, now_s)
        pools = [self._pool(name, now_s) for name in names]
        lender.apply_shares(lease_by_name, asked_s + reply.duration_s, now_s, True)
        for pool in pools:
            if pool is not None:
                lease = lease_by_name.get(pool.organisation.name)
                pool.tokens += lease.tokens if lease else 0.0
                pool.is_dirty = True
                self._clamp(pool, now_s)

    def record_region_failure(self, region):
        """Record that the quota holder of another region did not reply."""
        lender = self._lender_by_region.get(region)
        if lender is not None:
            lender.is_informed = False

    # State, for metrics.

    @property
    def is_holder(self):
        """Whether some entry has delegated its base share, or borrows."""
        return bool(self._delegation_by_process or self._borrower_by_process)

    @property
    def borrower_count(self):
        """Number of processes with leases."""
        return len(self._borrower_by_process)

    def forget_lenders(self, regions):
        """Forget regions that have no quota holder any more; their loans end by themselves."""
        for region in [one for one in self._lender_by_region if one not in regions]:
            self._earlier_lenders.append(self._lender_by_region.pop(region))


def _want(pool, demand, headroom=1.0):
    """Return the share that an entry should have for its demand."""
    if demand <= 0.0:
        return 0.0
    return min(1.0, max(headroom * demand / pool.organisation.rate_per_s, 1.0 / pool.size))


def _share_spare(want_by_region, spare):
    """Return the loan of each region, by what each wants, out of what can be spared."""
    wanted = sum(want_by_region.values())
    if spare < MIN_LOAN:
        return dict.fromkeys(want_by_region, 0.0)
    factor = min(1.0, spare / wanted) if wanted > 0.0 else 0.0
    return {process: want * factor for process, want in want_by_region.items()}


def _divide(demand_by_entry, share, pool, holding):
    """Divide a share among entries by demand.

    A bucket that is often full loses tokens. While much of the limit is in use, parts have no
    headroom, and what an entry lacks at times comes from the tokens that are not lent. A small
    bucket is full or empty most of the time, so that an entry of little demand then gets none, and
    asks for each request.
    """
    total = sum(demand_by_entry.values())
    headroom = (
        ENTRY_HEADROOM if total <= GIVE_FRACTION * share * pool.organisation.rate_per_s else 1.0
    )
    rate = pool.organisation.rate_per_s
    left = lendable = (1.0 - UNLENT_FRACTION) * share
    part_by_entry, small = {}, {}
    for entry, demand in demand_by_entry.items():
        want = _want(pool, demand, headroom)
        part = min(want, lendable * demand / total) if demand > 0.0 else 0.0
        is_small = part * pool.size < SMALL_TOKENS
        part_by_entry[entry] = 0.0 if is_small else part
        left -= part_by_entry[entry]
        if is_small and demand > 0.0:
            small[entry] = want
    limit = KEEP_FRACTION if any(entry in holding for entry in small) else GIVE_FRACTION
    if total > limit * share * rate:
        return part_by_entry
    small = {
        entry: want for entry, want in small.items() if demand_by_entry[entry] >= MIN_LEASE_PER_S
    }
    needed = sum(REGION_HEADROOM * demand_by_entry[entry] / rate for entry in small)
    for entry in _in_order(small, demand_by_entry, holding):
        needed -= REGION_HEADROOM * demand_by_entry[entry] / rate
        if left - small[entry] < max(needed, UNLENT_FRACTION_FOR_SMALL * share):
            break
        part_by_entry[entry] = small[entry]
        left -= small[entry]
    return part_by_entry


def _divide_scarce(demand_by_entry, share, pool, holding):
    """Divide all of a share that is much smaller than the demand, so that no entry has to ask.

    Entries whose buckets would be small do not all get one: as few as use what these are filled
    with, so that each holds several requests.
    """
    total = sum(demand_by_entry.values())
    part_by_entry = {
        entry: share * demand / total if total > 0.0 else 0.0
        for entry, demand in demand_by_entry.items()
    }
    small = [
        entry
        for entry, part in part_by_entry.items()
        if part * pool.size < SMALL_TOKENS and demand_by_entry[entry] > 0.0
    ]
    small_share = sum(part_by_entry[entry] for entry in small)
    small_demand = sum(demand_by_entry[entry] for entry in small)
    used = small_share * pool.organisation.rate_per_s / small_demand if small else 0.0
    wanted = ceil(FILL_HEADROOM * len(small) * used)
    count = min(len(small), max(1, wanted), int(small_share * pool.size + ROUNDING))
    for rank, entry in enumerate(_in_order(small, demand_by_entry, holding)):
        part_by_entry[entry] = small_share / count if rank < count else 0.0
    return part_by_entry


def _in_order(entries, demand_by_entry, holding):
    """Return the entries that hold a part first, since moves cost tokens, then by demand."""
    return sorted(entries, key=lambda one: (one not in holding, -demand_by_entry[one], one))
