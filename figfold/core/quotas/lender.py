"""A borrower's view of one lender: what is leased until when, and what the lender knows."""

from math import inf

from attrs import Factory, define

from figfold.core.quotas.messages import QuotaLease


@define(eq=False)
class Lender:
    """Leases of one process of a lender.

    Attributes
    ----------
    stamp : int
        Stamp of the last reply that was applied.
    received_s, asked_s : float
        When that reply was received, and when its request was sent.
    until_s : float
        When all leases end, unless they are renewed.
    earlier_by_name : dict[str, list[tuple[float, float]]]
        Larger shares of earlier replies, with their ends, for a borrower that has lent them on.
    is_informed : bool
        Whether the lender has received what ``stated_by_name`` holds.
    is_reduced : bool
        Whether the lender waits to hear that a smaller share has arrived.
    """

    name: str
    incarnation: int = 0
    stamp: int = 0
    received_s: float = -inf
    asked_s: float = -inf
    until_s: float = -inf
    share_by_name: dict[str, float] = Factory(dict)
    earlier_by_name: dict[str, list] = Factory(dict)
    stated_by_name: dict[str, float] = Factory(dict)
    is_informed: bool = False
    is_reduced: bool = False

    def share(self, name, at_s):
        """Return the share of an organisation's limit that is leased at a time."""
        share = self.share_by_name.get(name, 0.0) if at_s < self.until_s else 0.0
        for earlier, until_s in self.earlier_by_name.get(name, ()):
            if at_s < until_s:
                share = max(share, earlier)
        return share

    def record_reply(self, request, reply, asked_s, now_s):
        """Record a reply, of which the shares are not applied yet.

        Returns
        -------
        dict[str, QuotaLease] or None
            Leases that change, with a share of 0 for those that are void; None if a later reply
            was applied before.
        """
        if asked_s <= self.asked_s:
            return None
        self.asked_s, self.received_s = asked_s, now_s
        self.stamp = reply.stamp
        # A lender that has lost its records gets all demands with the next request.
        self.is_informed = request.is_whole or not reply.is_whole
        stated = {
            one.organisation: one.share if request.is_region else one.per_s
            for one in request.demands
        }
        self.stated_by_name = ({} if request.is_whole else self.stated_by_name) | stated
        lease_by_name = {one.organisation: one for one in reply.leases}
        if reply.is_whole:
            for name in self.share_by_name:
                lease_by_name.setdefault(name, QuotaLease(name, 0.0))
        return lease_by_name

    def names_to_fill(self, lease_by_name, now_s):
        """Return the organisations whose share is about to change."""
        is_void = self.until_s <= now_s
        return {*self.share_by_name, *lease_by_name} if is_void else set(lease_by_name)

    def apply_shares(self, lease_by_name, until_s, now_s, keeps_earlier):
        """Apply the shares of a reply that was recorded, and the new end of all leases.

        Parameters
        ----------
        keeps_earlier : bool
            Whether a share that becomes smaller still counts until its end.
        """
        for name, lease in lease_by_name.items():
            if lease.share < self.share_by_name.get(name, 0.0):
                self.is_reduced = True
                if keeps_earlier:
                    self.keep_earlier(name, now_s)
            self.share_by_name[name] = lease.share
            if not lease.share:
                del self.share_by_name[name]
        self.until_s = until_s

    def is_lending(self, now_s):
        """Return whether there are leases, or the lender waits for a smaller one to arrive."""
        return now_s < self.until_s and bool(self.share_by_name or self.is_reduced)

    def keep_earlier(self, name, now_s):
        """Keep the present share of a lease until its end, although a smaller one follows."""
        kept = [one for one in self.earlier_by_name.pop(name, ()) if one[1] > now_s]
        kept.append((self.share_by_name.get(name, 0.0), self.until_s))
        self.earlier_by_name[name] = kept

    def drop_ended(self, now_s):
        """Forget the earlier shares that have ended."""
        for name, kept in list(self.earlier_by_name.items()):
            if all(until_s <= now_s for _, until_s in kept):
                del self.earlier_by_name[name]
