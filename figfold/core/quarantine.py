"""Quarantines requests, by fingerprint, that were in progress when backend servers crashed.

Each crash adds a strike to the fingerprint of every request in progress at the server. A
fingerprint with strikes is suspect, and strikes of two crashes quarantine it. A quarantined request
runs only as a trial, after a pause that grows with each failed trial, until a trial succeeds or the
quarantine expires.
"""

from math import inf

from attrs import Factory, define, evolve, frozen

from figfold.core.model import QuarantinedRequest, ReportedStrike

CRASH_WINDOW_S = 2.0  # Resets and refused connections of a server within this time are one crash.
# The same for strikes that peers report. It is longer because each peer that forwards a strike in
# a request adds a second to its age.
PEER_CRASH_WINDOW_S = 10.0
STRIKE_LIFETIME_S = 600.0
QUARANTINE_S = 600.0
UNCONFIRMED_QUARANTINE_S = 20.0
TRIAL_PAUSE_S = 15.0  # From the latest crash to the first trial; longer after failed ones.
TRIAL_ROUND_S = 10.0  # Failed trials of all entries within this time count as one.
FAILED_TRIAL_LIFETIME_S = 3600.0
# A failed trial doubles the pause once, or this often at a server that was healthy before.
HEALTHY_SERVER_DOUBLINGS = 3
RECOVERY_S = 10.0  # A server without a failure for this time may have recovered.
STRIKES_TO_QUARANTINE = 2
# Unconfirmed resets at so many servers count as crashes.
SERVERS_TO_CONFIRM = 3
FINGERPRINT_LIMIT = 1000
EXPORT_LIMIT = 64  # Items of each kind in a report to a peer.


@frozen
class Strike:
    """A strike against a fingerprint: its request was in progress when a server may have crashed.

    Attributes
    ----------
    fingerprint, server : str
        The request and its server; the server and the time identify the crash.
    at_s : float
        Time of the crash, on the clock of ``now_s``.
    confirmed : bool
        Whether other connections of the server failed at the same time.
    fresh : bool
        Whether the connection was new. A server may close an idle one without a crash.
    doublings : int
        How often this strike doubles the pause before the next trial; 0 if it was no trial.
    """

    fingerprint: str
    server: str
    at_s: float
    confirmed: bool = False
    fresh: bool = False
    doublings: int = 0

    def is_same_crash(self, other, window_s=CRASH_WINDOW_S):
        """Return whether two strikes belong to one crash."""
        return self.server == other.server and abs(self.at_s - other.at_s) <= window_s


@define
class Quarantine:
    """Strikes and quarantined fingerprints of one entry, for all its services."""

    strike_lifetime_s: float = STRIKE_LIFETIME_S
    quarantine_s: float = QUARANTINE_S
    fingerprint_limit: int = FINGERPRINT_LIMIT
    _strikes_by_fingerprint: dict[str, list[Strike]] = Factory(dict)
    _expiry_by_fingerprint: dict[str, float] = Factory(dict)
    _succeeded_at_by_fingerprint: dict[str, float] = Factory(dict)
    _refused_at_by_server: dict[str, float] = Factory(dict)
    _unconfirmed_by_fingerprint: dict[str, tuple[float, int]] = Factory(dict)
    _trial_pause_start_by_fingerprint: dict[str, float] = Factory(dict)
    _failed_at_by_server: dict[str, float] = Factory(dict)
    _answered_at_by_server: dict[str, float] = Factory(dict)
    _trial_by_fingerprint: dict[str, Strike] = Factory(dict)

    @classmethod
    def from_config(cls, strike_lifetime_s=STRIKE_LIFETIME_S, quarantine_s=QUARANTINE_S):
        """Return an empty quarantine."""
        return cls(strike_lifetime_s, quarantine_s)

    def is_quarantined(self, fingerprint, now_s):
        """Return whether requests with this fingerprint may run only as trials."""
        if now_s < self._expiry_by_fingerprint.get(fingerprint, -inf):
            return True
        return self._doublings(fingerprint, now_s) > 0

    def is_suspect(self, fingerprint, now_s):
        """Return whether the fingerprint has a strike that has not expired."""
        strikes = self._strikes_by_fingerprint.get(fingerprint)
        return bool(strikes) and any(self._is_current(strike, now_s) for strike in strikes)

    def is_suspect_or_quarantined(self, fingerprint, now_s):
        """Return whether the fingerprint is quarantined or suspect."""
        return self.is_quarantined(fingerprint, now_s) or self.is_suspect(fingerprint, now_s)

    # Trials.

    def is_trial_due(self, fingerprint, now_s):
        """Return whether a quarantined request may run now, to test whether it crashes a server."""
        if fingerprint in self._trial_by_fingerprint:
            return False
        pause_s = TRIAL_PAUSE_S * 2 ** self._doublings(fingerprint, now_s)
        since_s = self._trial_pause_start_by_fingerprint.get(fingerprint, -inf)
        return now_s >= since_s + min(pause_s, self.quarantine_s)

    def has_recovered(self, server):
        """Return whether a server has answered since its latest failure, or never failed."""
        failed_s = self._failed_at_by_server.get(server, -inf)
        return failed_s == -inf or self._answered_at_by_server.get(server, -inf) > failed_s

    def may_have_recovered(self, server, now_s):
        """Return whether a server has recovered, or has not failed for `RECOVERY_S`."""
        failed_s = self._failed_at_by_server.get(server, -inf)
        return self.has_recovered(server) or now_s - failed_s >= RECOVERY_S

    def postpone_trial(self, fingerprint, now_s):
        """Restart the pause before the next trial."""
        self._set_bounded(self._trial_pause_start_by_fingerprint, fingerprint, now_s)

    def begin_trial(self, fingerprint, server, now_s):
        """Record that a quarantined request is dispatched as a trial."""
        doublings = HEALTHY_SERVER_DOUBLINGS if self.has_recovered(server) else 1
        self._trial_by_fingerprint[fingerprint] = Strike(
            fingerprint, server, now_s, doublings=doublings
        )
        self.postpone_trial(fingerprint, now_s)

    def end_trial(self, fingerprint):
        """Record that a trial has ended; its result is recorded like that of any attempt."""
        self._trial_by_fingerprint.pop(fingerprint, None)

    # Ends of attempts.

    def record_reset(self, server, fingerprint, fresh, now_s):
        """Record that a server's connection was reset while it ran a request."""
        doublings = self._doublings_of_trial(fingerprint, server)
        strike = Strike(fingerprint, server, now_s, fresh=fresh, doublings=doublings)
        refused_at_s = self._refused_at_by_server.get(server)
        same_crash = self._strikes_of_same_crash(strike)
        refused = refused_at_s is not None and now_s - refused_at_s <= CRASH_WINDOW_S
        self._add(strike)
        if same_crash or refused:
            self._confirm_crash(server, now_s)

    def record_connect_refused(self, server, now_s):
        """Record that a server refused a new connection, which confirms a recent reset."""
        self._set_bounded(self._refused_at_by_server, server, now_s)
        self._set_bounded(self._failed_at_by_server, server, now_s)
        self._confirm_crash(server, now_s)

    def record_crash(self, server, fingerprint, now_s):
        """Record a crash that needs no confirmation."""
        doublings = self._doublings_of_trial(fingerprint, server)
        self._add(Strike(fingerprint, server, now_s, confirmed=True, doublings=doublings))
        self._confirm_crash(server, now_s)

    def record_success(self, fingerprint, now_s, server=""):
        """Clear the strikes of a fingerprint after a server answered its request.

        Only the answer to a trial ends the quarantine: other answers may be of attempts that
        began before the crashes.
        """
        self._set_bounded(self._answered_at_by_server, server, now_s)
        self._strikes_by_fingerprint.pop(fingerprint, None)
        self._set_bounded(self._succeeded_at_by_fingerprint, fingerprint, now_s)
        if fingerprint in self._trial_by_fingerprint:
            self._expiry_by_fingerprint.pop(fingerprint, None)

    def merge_quarantined(self, fingerprint, expires_in_s, now_s):
        """Merge a quarantined fingerprint from a peer; the later expiry wins.

        It is ignored if servers have answered the request here recently. The strikes that the
        peer reports as well then decide.
        """
        if self._succeeded_recently(fingerprint, now_s):
            return
        if not self.is_quarantined(fingerprint, now_s):
            self.postpone_trial(fingerprint, now_s)
        expiry_s = now_s + min(expires_in_s, self.quarantine_s)
        self._extend_quarantine(fingerprint, expiry_s)

    def merge_strike(self, reported, now_s):
        """Merge a strike from a peer, unless a later success here has cleared it."""
        at_s = now_s - max(0.0, reported.age_s)
        if at_s <= self._succeeded_at_by_fingerprint.get(
            reported.fingerprint, -self.strike_lifetime_s
        ):
            return
        strike = Strike(
            reported.fingerprint,
            reported.server,
            at_s,
            reported.confirmed,
            reported.fresh,
            min(reported.doublings, HEALTHY_SERVER_DOUBLINGS),
        )
        if self._is_current(strike, now_s):
            self._add(strike, PEER_CRASH_WINDOW_S)

    def entries(self, now_s):
        """Return the quarantined fingerprints for reports to peers, latest expiry first."""
        live = [
            QuarantinedRequest(fingerprint, expiry_s - now_s)
            for fingerprint, expiry_s in self._expiry_by_fingerprint.items()
            if now_s < expiry_s
        ]
        live.sort(key=lambda entry: -entry.expires_in_s)
        return tuple(live[:EXPORT_LIMIT])

    def strikes(self, now_s):
        """Return the strikes for reports to peers, latest first."""
        live = [
            strike
            for strikes in self._strikes_by_fingerprint.values()
            for strike in strikes
            if self._is_current(strike, now_s)
        ]
        live.sort(key=lambda strike: -strike.at_s)
        return tuple(_to_reported(strike, now_s) for strike in live[:EXPORT_LIMIT])

    def _succeeded_recently(self, fingerprint, now_s):
        """Return whether a server has answered such a request within the lifetime of strikes."""
        return (
            now_s - self._succeeded_at_by_fingerprint.get(fingerprint, -inf)
            < self.strike_lifetime_s
        )

    def _is_current(self, strike, now_s):
        life_s = FAILED_TRIAL_LIFETIME_S if strike.doublings else self.strike_lifetime_s
        return now_s - strike.at_s < life_s

    def _doublings_of_trial(self, fingerprint, server):
        trial = self._trial_by_fingerprint.get(fingerprint)
        return trial.doublings if trial and trial.server == server else 0

    def _doublings(self, fingerprint, now_s):
        """Return how often failed trials have doubled the pause before the next one."""
        strikes = self._strikes_by_fingerprint.get(fingerprint, ())
        failed = [
            strike for strike in strikes if strike.doublings and self._is_current(strike, now_s)
        ]
        failed.sort(key=lambda strike: strike.at_s)
        total, round_end_s = 0, -inf
        for strike in failed:
            # Trials that several entries run at about the same time count once.
            if strike.at_s >= round_end_s:
                total += strike.doublings
                round_end_s = strike.at_s + TRIAL_ROUND_S
        return total

    def _add(self, strike, window_s=CRASH_WINDOW_S):
        if not strike.fingerprint:
            return
        failed_s = self._failed_at_by_server.get(strike.server, -inf)
        self._set_bounded(self._failed_at_by_server, strike.server, max(failed_s, strike.at_s))
        strikes = self._strikes_by_fingerprint.pop(strike.fingerprint, [])
        strikes = [known for known in strikes if self._is_current(known, strike.at_s)]
        for index, known in enumerate(strikes):
            if known.is_same_crash(strike, window_s):
                strikes[index] = evolve(
                    known,
                    confirmed=known.confirmed or strike.confirmed,
                    fresh=known.fresh or strike.fresh,
                    doublings=max(known.doublings, strike.doublings),
                )
                break
        else:
            strikes.append(strike)
        self._set_bounded(self._strikes_by_fingerprint, strike.fingerprint, strikes)
        self._update_quarantine(strike.fingerprint)

    def _strikes_of_same_crash(self, strike):
        return [
            known
            for strikes in self._strikes_by_fingerprint.values()
            for known in strikes
            if known.is_same_crash(strike)
        ]

    def _confirm_crash(self, server, now_s):
        """Mark the strikes of a server's crash at ``now_s`` as confirmed."""
        crash = Strike("", server, now_s)
        for strike in self._strikes_of_same_crash(crash):
            self._add(evolve(strike, confirmed=True))

    def _update_quarantine(self, fingerprint):
        """Quarantine a fingerprint with strikes of two crashes.

        An unconfirmed reset counts only if the request was reset at another server too, and if
        at least one of the connections was new: a server may close an idle connection without a
        crash. Such resets at three servers count as crashes. A popular request is in progress at
        any crash, so that a request which servers have answered recently is quarantined for a
        short time at first.
        """
        strikes = self._strikes_by_fingerprint[fingerprint]
        confirmed = sum(strike.confirmed for strike in strikes)
        servers = {strike.server for strike in strikes}
        any_reliable = any(strike.confirmed or strike.fresh for strike in strikes)
        repeated = any_reliable and len(servers) >= STRIKES_TO_QUARANTINE
        latest_s = max(strike.at_s for strike in strikes)
        crashed_twice = confirmed >= STRIKES_TO_QUARANTINE or (
            repeated and len(servers) >= SERVERS_TO_CONFIRM
        )
        if crashed_twice or repeated or any(strike.doublings for strike in strikes):
            pause_start_s = self._trial_pause_start_by_fingerprint.get(fingerprint, -inf)
            self.postpone_trial(fingerprint, max(pause_start_s, latest_s))
        if crashed_twice and not self._succeeded_recently(fingerprint, latest_s):
            self._extend_quarantine(fingerprint, latest_s + self.quarantine_s)
        elif crashed_twice or repeated:
            self._extend_quarantine(
                fingerprint, latest_s + self._unconfirmed_quarantine_s(fingerprint, latest_s)
            )

    def _unconfirmed_quarantine_s(self, fingerprint, at_s):
        """Return the quarantine time of a fingerprint that may be unrelated to the crashes.

        Two unrelated resets must not block a popular request for long. The time is therefore
        short at first and doubles with each further quarantine.
        """
        expiry_s, times = self._unconfirmed_by_fingerprint.pop(fingerprint, (-inf, 0))
        if at_s >= expiry_s:
            times += 1
        held_s = min(self.quarantine_s, UNCONFIRMED_QUARANTINE_S * 2 ** (times - 1))
        unconfirmed = (max(expiry_s, at_s + held_s), times)
        self._set_bounded(self._unconfirmed_by_fingerprint, fingerprint, unconfirmed)
        return held_s

    def _extend_quarantine(self, fingerprint, expiry_s):
        known_s = self._expiry_by_fingerprint.get(fingerprint, expiry_s)
        self._set_bounded(self._expiry_by_fingerprint, fingerprint, max(known_s, expiry_s))

    def _set_bounded(self, value_by_key, key, value):
        """Set a value; above the limit, evict the key that was set longest ago."""
        value_by_key.pop(key, None)
        value_by_key[key] = value
        if len(value_by_key) > self.fingerprint_limit:
            del value_by_key[next(iter(value_by_key))]


def _to_reported(strike, now_s):
    age_s = max(0.0, now_s - strike.at_s)
    return ReportedStrike(
        strike.fingerprint,
        strike.server,
        age_s,
        strike.confirmed,
        strike.fresh,
        strike.doublings,
    )
