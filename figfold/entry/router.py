"""Decides for each look-up and request where it goes: here, to another entry, or nowhere."""

from attrs import define, evolve
from result import Err, Ok

from figfold.config.section_settings import EntrySettings, Settings
from figfold.core.blocks import BlockMap
from figfold.core.codes import Code, Outcome
from figfold.core.membership import Membership
from figfold.core.steering import ENTRY_LIMIT, Steering, choose_entries, choose_places
from figfold.entry.booking_runner import BookingRunner
from figfold.entry.clock import now_s, wall_s
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.live_view import LiveView
from figfold.entry.messages import refuse
from figfold.entry.metrics import Metrics
from figfold.entry.passing import Passing, had_no_room, ran, was_not_run
from figfold.entry.plan_keeper import PlanKeeper
from figfold.entry.spill import Spill

# Refusals of this place after which an idempotent request may still be served elsewhere.
PASS_ON_CODES = frozenset(
    (
        Code.PLACE_EMPTYING,
        Code.QUEUE_FULL,
        Code.DEADLINE_TOO_SHORT,
        Code.NO_PERMIT,
        Code.NO_SERVER,
    )
)
# Refusals that come from this entry's own part of the place, so that its mates may have room.
MATE_CODES = PASS_ON_CODES - {Code.PLACE_EMPTYING}
# Entries that a waiting request is offered to before it waits here.
SPILL_TRIES = 2


@define(eq=False)
class Router:
    """Look-ups and requests of one entry."""

    own: EntrySettings
    settings: Settings
    steering: Steering
    blocks: BlockMap
    plans: PlanKeeper
    membership: Membership
    live: LiveView
    spill: Spill
    dispatcher: Dispatcher
    bookings: BookingRunner
    passing: Passing
    metrics: Metrics

    # Look-ups.

    def look_up(self, service, caller, region):
        """Return which entries a caller should use.

        Returns
        -------
        Result[dict, Refusal]
            The body of the answer, or why there is none.
        """
        if service not in self.settings.topology.service_by_name:
            return refused(Code.UNKNOWN_SERVICE, "no such service", "check the name")
        if self.plans.plan is None:
            return refused(Code.PLAN_NONE, "no plan is in force here yet", "ask another entry")
        if not self.is_confirmed():
            return refused(
                Code.PLAN_UNCONFIRMED,
                "the plan can not be confirmed with the store or enough entries",
                "ask another entry",
            )
        places = self._places(service, caller, region)
        entries = self._entries(service, caller, places)
        if not entries:
            return refused(Code.LOOKUP_NO_ENTRY, "no live entry serves this service", "try later")
        return Ok(
            {
                "service": service,
                "place": entries[0].place,
                "entries": [as_json(entry) for entry in entries],
                "ttl_ms": self.settings.lookup.ttl_ms,
                "plan_version": self.plans.version,
            }
        )

    def is_confirmed(self):
        """Return whether the plan in force is known to be the latest accepted one."""
        now = now_s()
        if self.plans.confirmation.is_confirmed(now, majority_contact=False):
            return True
        majority = self.membership.reached_majority(now, self.settings.plan.confirm_ttl_s)
        return self.plans.confirmation.is_confirmed(now, majority)

    def _places(self, service, caller, region, excluded=frozenset()):
        region = region or self._region_of(caller)
        places = self.settings.topology.place_by_name.keys()
        dead = frozenset(places - self.live.refresh().views_by_place.keys())
        return choose_places(
            self.steering, self.plans.plan, service, caller, region, wall_s(), dead | excluded
        )

    def _region_of(self, caller):
        found = self.blocks.find_region(caller) if self.blocks else None
        return found or self.settings.topology.place_by_name[self.own.place].region

    def _entries(self, service, caller, places):
        views_by_place = self.live.refresh().views_by_place
        views = [view for place in places for view in views_by_place.get(place, ())]
        topology = self.settings.topology
        return choose_entries(views, service, caller, places, place_by_name=topology.place_by_name)

    # Requests.

    def serve(self, request):
        """Serve a request here, pass it on once, or refuse it as not run.

        Returns
        -------
        Result[ServerAnswer, Refusal]
        """
        if self._exceeds_wait_limit(request):
            message = "the request would wait longer than the entry that passed it on allows"
            return Err(_weaken(refuse(Code.NO_ROOM, message, "serve it yourself"), request))
        spilled = self._spill(request)
        if spilled is not None and spilled.is_ok():
            return spilled
        result = self._serve_here(request)
        if result.is_ok():
            return result
        if spilled is not None:
            if result.err().outcome is Outcome.RAN:
                return result
            # The other entry may have run the request, whatever becomes of it here.
            return Err(evolve(result.err(), outcome=Outcome.UNKNOWN))
        refusal = _weaken(result.err(), request)
        others = self._other_entries(request, refusal.failure.code)
        # What may have run here is not passed on: the other entry would tell of its part only.
        unsent = refusal.failure.code in PASS_ON_CODES and refusal.outcome is Outcome.NOT_RUN
        if unsent and others and self._may_pass_on(request):
            return self._pass_on(request, others[0], refusal)
        return Err(evolve(refusal, entries=tuple(as_json(entry) for entry in others)))

    def _exceeds_wait_limit(self, request):
        limit_s = request.wait_limit_s
        return limit_s is not None and self.dispatcher.expected_wait_s(request) > limit_s

    def _spill(self, request):
        """Pass on a request that would wait here longer than the way costs.

        A booking is passed on before its key is claimed here, and claimed where it arrives.

        Returns
        -------
        Result[ServerAnswer, Refusal] or None
            None when it was not run there. Without an answer it is served here in any case: a
            read may run twice, and of a booking the claim of its key tells what became of it.
        """
        if request.hops:
            return None
        for _ in range(SPILL_TRIES):
            wait_s = self.dispatcher.expected_wait_s(request)
            # A booking in another region would be far from the store as well.
            may_leave_region = not request.key
            offer = self.spill.choose(request.service, wait_s, may_leave_region) if wait_s else None
            if offer is None or self._obstacle(request) is not None:
                return None
            result = self.passing.offer(request, offer)
            if ran(result):
                self.spill.note_room(offer.entry.name, request.service)
                return result
            self.spill.note_no_room(offer.entry.name, request.service)
            if not had_no_room(result):
                return None if was_not_run(result) else _unknown(offer.entry)
            self.metrics.count("retries", service=request.service, reason="no_room")
        return None

    def _serve_here(self, request):
        obstacle = self._obstacle(request)
        if obstacle is not None:
            return Err(obstacle)
        if request.key:
            return self.bookings.serve(request)
        return self.dispatcher.run(request)

    def _obstacle(self, request):
        """Return why the plan keeps this place from serving the request, None if it does not."""
        if self.plans.plan is None:
            return refuse(Code.PLAN_NONE, "no plan is in force here yet", "ask another entry")
        serve_reads = self.settings.plan.unconfirmed_reads == "serve" and not request.key
        if not serve_reads and not self.is_confirmed():
            return refuse(
                Code.PLAN_UNCONFIRMED, "the plan can not be confirmed now", "try another entry"
            )
        row = self.plans.plan.row_by_key.get((request.service, self.own.place))
        if row is None or row.is_emptying(wall_s()):
            return refuse(
                Code.PLACE_EMPTYING, "the place takes no new work of this service", "look up again"
            )
        return None

    def _may_pass_on(self, request):
        service = self.settings.topology.service_by_name[request.service]
        return request.hops == 0 and service.is_idempotent(request.method)

    def _other_entries(self, request, code):
        """Return entries that may have room for the request, best first."""
        if self.plans.plan is None:
            return ()
        mates = []
        if code in MATE_CODES:
            view = self.live.refresh()
            mates = view.mates_with_room(request.service, self.own.place, self.own.name)
        return (*mates, *self._distant_entries(request))[:ENTRY_LIMIT]

    def _distant_entries(self, request):
        caller = request.fingerprint
        places = self._places(request.service, caller, "", frozenset((self.own.place,)))
        view = self.live.refresh()
        open_places = [place for place in places if view.may_have_room(request.service, place)]
        return self._entries(request.service, caller, open_places)

    def _pass_on(self, request, entry, refusal):
        """Let another entry serve a request that this one refuses."""
        result = self.passing.pass_on(request, entry, refusal.failure.code.name.lower())
        if result.is_err() and result.err().outcome is Outcome.NOT_RUN:
            return Err(evolve(refusal, entries=(as_json(entry),)))
        return result


def _unknown(entry):
    message = f"what became of the request at {entry.name} is not known"
    return refused(Code.PEER_ENTRY_FAILED, message, "send it again", Outcome.UNKNOWN)


def _weaken(refusal, request):
    """Return the refusal with the outcome that holds for the request's idempotency key.

    A repeat of a key may be refused here while an earlier request with that key has run
    elsewhere. Unless the table or the caller says otherwise, that can not be told from here.
    """
    settled = not request.key or request.first_use or refusal.key_settled
    if settled or refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return evolve(refusal, outcome=Outcome.UNKNOWN)


def as_json(entry):
    """Return an entry as answers name it."""
    return {"name": entry.name, "place": entry.place, "address": entry.address}


def refused(code, message, remedy, outcome=Outcome.NOT_RUN):
    """Return a failed result with a numbered refusal."""
    return Err(refuse(code, message, remedy, outcome))
