"""Request fingerprints that were on board when backend servers crashed."""

from math import inf

from attrs import Factory, define, evolve, frozen

from figfold.core.model import QuarantinedRequest, ReportedCrash

CRASH_WINDOW_S = 2.0  # Resets and refusals of one server within this time are one crash.
# The same for what peers tell: each that passes it on by a request adds a second to its age.
TOLD_CRASH_WINDOW_S = 10.0
STRIKE_LIFE_S = 600.0
QUARANTINE_S = 600.0
DOUBTFUL_QUARANTINE_S = 20.0
TRIAL_PAUSE_S = 15.0  # From the latest crash to the first trial; longer after failed ones.
TRIAL_ROUND_S = 10.0  # Trials of all entries within this time count as one.
FAILED_TRIAL_LIFE_S = 3600.0
# Failed trials double the pause: once, or this often at a server that was known to be whole.
CERTAIN_DOUBLINGS = 3
QUIET_S = 10.0  # A server without a failure for this time may be whole again.
STRIKES_TO_QUARANTINE = 2
FINGERPRINT_LIMIT = 1000
EXPORT_LIMIT = 64  # Entries of each kind in a peer exchange.


@frozen
class Strike:
    """A fingerprint that was on board when a server may have crashed.

    Attributes
    ----------
    fingerprint, server : str
        What was on board where; the server and the time together name the crash.
    at_s : float
        When, on the clock of ``now_s``.
    confirmed : bool
        Whether other connections of the server failed at the same time.
    fresh : bool
        Whether the connection was new. A server may close an idle one without a crash.
    doublings : int
        How often the pause before the next trial doubles if the request ran as a trial, else 0.
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

    strike_life_s: float = STRIKE_LIFE_S
    quarantine_s: float = QUARANTINE_S
    fingerprint_limit: int = FINGERPRINT_LIMIT
    _strikes_by_fingerprint: dict[str, list[Strike]] = Factory(dict)
    _expiry_by_fingerprint: dict[str, float] = Factory(dict)
    _cleared_by_fingerprint: dict[str, float] = Factory(dict)
    _refused_at_by_server: dict[str, float] = Factory(dict)
    _doubtful_by_fingerprint: dict[str, tuple[float, int]] = Factory(dict)
    _held_since_by_fingerprint: dict[str, float] = Factory(dict)
    _failed_at_by_server: dict[str, float] = Factory(dict)
    _answered_at_by_server: dict[str, float] = Factory(dict)
    _trial_by_fingerprint: dict[str, Strike] = Factory(dict)

    @classmethod
    def from_config(cls, strike_life_s=STRIKE_LIFE_S, quarantine_s=QUARANTINE_S):
        """Return an empty quarantine."""
        return cls(strike_life_s, quarantine_s)

    def is_quarantined(self, fingerprint, now_s):
        """Return whether a request with this fingerprint is dispatched as a trial only."""
        if now_s < self._expiry_by_fingerprint.get(fingerprint, -inf):
            return True
        return self._doublings(fingerprint, now_s) > 0

    def is_suspect(self, fingerprint, now_s):
        """Return whether the fingerprint has a strike that still counts."""
        strikes = self._strikes_by_fingerprint.get(fingerprint)
        return bool(strikes) and any(self._is_live(strike, now_s) for strike in strikes)

    def is_marked(self, fingerprint, now_s):
        """Return whether the fingerprint is quarantined or suspect."""
        return self.is_quarantined(fingerprint, now_s) or self.is_suspect(fingerprint, now_s)

    # Trials.

    def is_trial_due(self, fingerprint, now_s):
        """Return whether a held back request may run now to show whether it crashes a server."""
        if fingerprint in self._trial_by_fingerprint:
            return False
        pause_s = TRIAL_PAUSE_S * 2 ** self._doublings(fingerprint, now_s)
        since_s = self._held_since_by_fingerprint.get(fingerprint, -inf)
        return now_s >= since_s + min(pause_s, self.quarantine_s)

    def is_whole(self, server):
        """Return whether a server has answered since its latest failure, if it had any."""
        failed_s = self._failed_at_by_server.get(server, -inf)
        return failed_s == -inf or self._answered_at_by_server.get(server, -inf) > failed_s

    def may_be_whole(self, server, now_s):
        """Return whether a server is whole, as far as can be told, or has not failed lately."""
        failed_s = self._failed_at_by_server.get(server, -inf)
        return self.is_whole(server) or now_s - failed_s >= QUIET_S

    def postpone_trial(self, fingerprint, now_s):
        """Let the pause before the next trial begin anew."""
        self._put(self._held_since_by_fingerprint, fingerprint, now_s)

    def begin_trial(self, fingerprint, server, now_s):
        """Record that a held back request is dispatched as a trial."""
        doublings = CERTAIN_DOUBLINGS if self.is_whole(server) else 1
        self._trial_by_fingerprint[fingerprint] = Strike(
            fingerprint, server, now_s, doublings=doublings
        )
        self.postpone_trial(fingerprint, now_s)

    def end_trial(self, fingerprint):
        """Record that a trial has ended; how is recorded as for all attempts."""
        self._trial_by_fingerprint.pop(fingerprint, None)

    # Ends of attempts.

    def record_reset(self, server, fingerprint, fresh, now_s):
        """Record that a server's connection was reset while it ran a request."""
        doublings = self._doublings_of_trial(fingerprint, server)
        strike = Strike(fingerprint, server, now_s, fresh=fresh, doublings=doublings)
        refused_at_s = self._refused_at_by_server.get(server)
        together = self._strikes_of_crash(strike)
        refused = refused_at_s is not None and now_s - refused_at_s <= CRASH_WINDOW_S
        self._add(strike)
        if together or refused:
            self._confirm(server, now_s)

    def record_refused(self, server, now_s):
        """Record that a server refused a fresh connection, which confirms a recent reset."""
        self._put(self._refused_at_by_server, server, now_s)
        self._put(self._failed_at_by_server, server, now_s)
        self._confirm(server, now_s)

    def record_crash(self, server, fingerprint, now_s):
        """Record a crash that is known as such."""
        doublings = self._doublings_of_trial(fingerprint, server)
        self._add(Strike(fingerprint, server, now_s, confirmed=True, doublings=doublings))
        self._confirm(server, now_s)

    def record_success(self, fingerprint, now_s, server=""):
        """Clear the strikes of a fingerprint that a server has answered.

        After a trial it is held back no longer. Other answers do not say so much: they may be
        of attempts that began before the crashes.
        """
        self._put(self._answered_at_by_server, server, now_s)
        self._strikes_by_fingerprint.pop(fingerprint, None)
        self._put(self._cleared_by_fingerprint, fingerprint, now_s)
        if fingerprint in self._trial_by_fingerprint:
            self._expiry_by_fingerprint.pop(fingerprint, None)

    def merge(self, fingerprint, expires_in_s, now_s):
        """Take over a quarantined fingerprint from a peer; the later expiry holds.

        One that servers answer here is judged by the strikes that the peer tells besides.
        """
        if self._has_succeeded(fingerprint, now_s):
            return
        if not self.is_quarantined(fingerprint, now_s):
            self.postpone_trial(fingerprint, now_s)
        expiry_s = now_s + min(expires_in_s, self.quarantine_s)
        self._quarantine(fingerprint, expiry_s)

    def merge_strike(self, shared, now_s):
        """Take over a strike from a peer, unless a later success here has cleared it."""
        at_s = now_s - max(0.0, shared.age_s)
        if at_s <= self._cleared_by_fingerprint.get(shared.fingerprint, -self.strike_life_s):
            return
        strike = Strike(
            shared.fingerprint,
            shared.server,
            at_s,
            shared.confirmed,
            shared.fresh,
            min(shared.doublings, CERTAIN_DOUBLINGS),
        )
        if self._is_live(strike, now_s):
            self._add(strike, TOLD_CRASH_WINDOW_S)

    def entries(self, now_s):
        """Return the quarantined fingerprints to tell peers, latest expiry first."""
        live = [
            QuarantinedRequest(fingerprint, expiry_s - now_s)
            for fingerprint, expiry_s in self._expiry_by_fingerprint.items()
            if now_s < expiry_s
        ]
        live.sort(key=lambda entry: -entry.expires_in_s)
        return tuple(live[:EXPORT_LIMIT])

    def strikes(self, now_s):
        """Return the strikes to tell peers, latest first."""
        live = [
            strike
            for strikes in self._strikes_by_fingerprint.values()
            for strike in strikes
            if self._is_live(strike, now_s)
        ]
        live.sort(key=lambda strike: -strike.at_s)
        return tuple(_shared(strike, now_s) for strike in live[:EXPORT_LIMIT])

    def _has_succeeded(self, fingerprint, now_s):
        """Return whether a server has answered a request with this fingerprint lately."""
        return now_s - self._cleared_by_fingerprint.get(fingerprint, -inf) < self.strike_life_s

    def _is_live(self, strike, now_s):
        life_s = FAILED_TRIAL_LIFE_S if strike.doublings else self.strike_life_s
        return now_s - strike.at_s < life_s

    def _doublings_of_trial(self, fingerprint, server):
        trial = self._trial_by_fingerprint.get(fingerprint)
        return trial.doublings if trial and trial.server == server else 0

    def _doublings(self, fingerprint, now_s):
        """Return how often failed trials have doubled the pause before the next one."""
        strikes = self._strikes_by_fingerprint.get(fingerprint, ())
        failed = [strike for strike in strikes if strike.doublings and self._is_live(strike, now_s)]
        failed.sort(key=lambda strike: strike.at_s)
        total, round_end_s = 0, -inf
        for strike in failed:
            # Entries that try it at about the same time learn the same of it.
            if strike.at_s >= round_end_s:
                total += strike.doublings
                round_end_s = strike.at_s + TRIAL_ROUND_S
        return total

    def _add(self, strike, window_s=CRASH_WINDOW_S):
        if not strike.fingerprint:
            return
        failed_s = self._failed_at_by_server.get(strike.server, -inf)
        self._put(self._failed_at_by_server, strike.server, max(failed_s, strike.at_s))
        strikes = self._strikes_by_fingerprint.pop(strike.fingerprint, [])
        strikes = [known for known in strikes if self._is_live(known, strike.at_s)]
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
        self._put(self._strikes_by_fingerprint, strike.fingerprint, strikes)
        self._judge(strike.fingerprint)

    def _strikes_of_crash(self, strike):
        return [
            known
            for strikes in self._strikes_by_fingerprint.values()
            for known in strikes
            if known.is_same_crash(strike)
        ]

    def _confirm(self, server, now_s):
        """Mark the server's recent strikes as confirmed."""
        crash = Strike("", server, now_s)
        for strike in self._strikes_of_crash(crash):
            self._add(evolve(strike, confirmed=True))

    def _judge(self, fingerprint):
        """Quarantine a fingerprint that was on board at two crashes.

        A reset that nothing else confirms counts when the same request was reset at another
        server too and not both resets were of connections that may have been idle for long. A
        popular request is on board at whatever crashes, so that one which servers have answered
        lately is held back for a short time first.
        """
        strikes = self._strikes_by_fingerprint[fingerprint]
        confirmed = sum(strike.confirmed for strike in strikes)
        servers = {strike.server for strike in strikes}
        certain = any(strike.confirmed or strike.fresh for strike in strikes)
        repeated = certain and len(servers) >= STRIKES_TO_QUARANTINE
        latest_s = max(strike.at_s for strike in strikes)
        crashed_twice = confirmed >= STRIKES_TO_QUARANTINE
        if crashed_twice or repeated or any(strike.doublings for strike in strikes):
            held_since_s = self._held_since_by_fingerprint.get(fingerprint, -inf)
            self.postpone_trial(fingerprint, max(held_since_s, latest_s))
        if crashed_twice and not self._has_succeeded(fingerprint, latest_s):
            self._quarantine(fingerprint, latest_s + self.quarantine_s)
        elif crashed_twice or repeated:
            self._quarantine(fingerprint, latest_s + self._doubtful_s(fingerprint, latest_s))

    def _doubtful_s(self, fingerprint, at_s):
        """Return how long a fingerprint is held back that may be on board by chance.

        Two chance resets must not shut out a popular request for long, so that the time begins
        short; it doubles each time that the request comes to it again.
        """
        expiry_s, times = self._doubtful_by_fingerprint.pop(fingerprint, (-inf, 0))
        if at_s >= expiry_s:
            times += 1
        held_s = min(self.quarantine_s, DOUBTFUL_QUARANTINE_S * 2 ** (times - 1))
        doubtful = (max(expiry_s, at_s + held_s), times)
        self._put(self._doubtful_by_fingerprint, fingerprint, doubtful)
        return held_s

    def _quarantine(self, fingerprint, expiry_s):
        known_s = self._expiry_by_fingerprint.get(fingerprint, expiry_s)
        self._put(self._expiry_by_fingerprint, fingerprint, max(known_s, expiry_s))

    def _put(self, value_by_key, key, value):
        """Set a value and drop the key that was set longest ago past the limit."""
        value_by_key.pop(key, None)
        value_by_key[key] = value
        if len(value_by_key) > self.fingerprint_limit:
            del value_by_key[next(iter(value_by_key))]


def _shared(strike, now_s):
    age_s = max(0.0, now_s - strike.at_s)
    return ReportedCrash(
        strike.fingerprint,
        strike.server,
        age_s,
        strike.confirmed,
        strike.fresh,
        strike.doublings,
    )
