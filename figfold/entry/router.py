"""Answers look-ups, and routes each request to this place or to another entry, or refuses it."""

from attrs import define, evolve
from result import Err, Ok

from figfold.config.section_settings import EntrySettings, Settings
from figfold.core.blocks import BlockMap
from figfold.core.codes import Code, Outcome
from figfold.core.membership import Membership
from figfold.core.steering import ENTRY_LIMIT, SteeringCache, choose_entries, choose_places
from figfold.entry.booking_runner import BookingRunner
from figfold.entry.clock import now_s, wall_s
from figfold.entry.dispatcher import Dispatcher
from figfold.entry.forwarding import Forwarder, lacked_capacity, was_executed, was_not_executed
from figfold.entry.live_entry_cache import LiveEntryCache
from figfold.entry.metrics import Metrics
from figfold.entry.plan_tracker import PlanTracker
from figfold.entry.request_types import refuse
from figfold.entry.spillover import SpilloverSelector

# Refusals by this place after which an idempotent request may still be served elsewhere.
FORWARDABLE_CODES = frozenset(
    (
        Code.PLACE_EMPTYING,
        Code.QUEUE_FULL,
        Code.DEADLINE_TOO_SHORT,
        Code.NO_PERMIT,
        Code.NO_SERVER,
    )
)
# Refusals caused by this entry's own share of the place: the place's other entries may have room.
LOCAL_ENTRY_CODES = FORWARDABLE_CODES - {Code.PLACE_EMPTYING}
# Number of entries that a request is offered to before it is queued here.
MAX_SPILLOVER_OFFERS = 2


@define(eq=False)
class Router:
    """Routes the look-ups and requests of one entry."""

    own: EntrySettings
    settings: Settings
    steering: SteeringCache
    blocks: BlockMap
    plans: PlanTracker
    membership: Membership
    live: LiveEntryCache
    spillover_selector: SpilloverSelector
    dispatcher: Dispatcher
    bookings: BookingRunner
    forwarder: Forwarder
    metrics: Metrics

    # Answers to look-ups.

    def look_up(self, service, caller, region):
        """Return which entries a caller should use.

        Returns
        -------
        Result[dict, Refusal]
            The body of the answer, or the reason for the refusal.
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
        places = self._ranked_places(service, caller, region)
        entries = self._ranked_entries(service, caller, places)
        if not entries:
            return refused(Code.LOOKUP_NO_ENTRY, "no live entry serves this service", "try later")
        return Ok(
            {
                "service": service,
                "place": entries[0].place,
                "entries": [entry_as_json(entry) for entry in entries],
                "ttl_ms": self.settings.lookup.ttl_ms,
                "plan_version": self.plans.version,
            }
        )

    def is_confirmed(self):
        """Return whether the plan in force is known to be the latest accepted one."""
        now = now_s()
        if self.plans.confirmation.is_confirmed(now, majority_contact=False):
            return True
        majority = self.membership.has_majority_contact(now, self.settings.plan.confirm_ttl_s)
        return self.plans.confirmation.is_confirmed(now, majority)

    def _ranked_places(self, service, caller, region, excluded=frozenset()):
        region = region or self._region_of(caller)
        places = self.settings.topology.place_by_name.keys()
        dead = frozenset(places - self.live.refresh().views_by_place.keys())
        return choose_places(
            self.steering, self.plans.plan, service, caller, region, wall_s(), dead | excluded
        )

    def _region_of(self, caller):
        found = self.blocks.find_region(caller) if self.blocks else None
        return found or self.settings.topology.place_by_name[self.own.place].region

    def _ranked_entries(self, service, caller, places):
        views_by_place = self.live.refresh().views_by_place
        views = [view for place in places for view in views_by_place.get(place, ())]
        topology = self.settings.topology
        return choose_entries(views, service, caller, places, place_by_name=topology.place_by_name)

    # Routing of requests.

    def serve(self, request):
        """Serve a request here, forward it once, or refuse it.

        Returns
        -------
        Result[ServerAnswer, Refusal]
        """
        if self._exceeds_wait_limit(request):
            message = "the request would wait longer than the entry that passed it on allows"
            return Err(
                _with_key_outcome(refuse(Code.NO_ROOM, message, "serve it yourself"), request)
            )
        spilled = self._try_spillover(request)
        if spilled is not None and spilled.is_ok():
            return spilled
        result = self._serve_here(request)
        if result.is_ok():
            return result
        if spilled is not None:
            if result.err().outcome is Outcome.RAN:
                return result
            # The other entry may have executed the request, so a refusal here does not settle it.
            return Err(evolve(result.err(), outcome=Outcome.UNKNOWN))
        refusal = _with_key_outcome(result.err(), request)
        others = self._alternative_entries(request, refusal.failure.code)
        # A request that may have run here is not forwarded: the other entry would report only
        # the outcome of its own attempt.
        unsent = refusal.failure.code in FORWARDABLE_CODES and refusal.outcome is Outcome.NOT_RUN
        if unsent and others and self._may_forward(request):
            return self._forward(request, others[0], refusal)
        return Err(evolve(refusal, entries=tuple(entry_as_json(entry) for entry in others)))

    def _exceeds_wait_limit(self, request):
        limit_s = request.wait_limit_s
        return limit_s is not None and self.dispatcher.expected_wait_s(request) > limit_s

    def _try_spillover(self, request):
        """Offer a request to other entries if forwarding it is faster than queueing it here.

        A booking is forwarded before its key is claimed here; the other entry claims it.

        Returns
        -------
        Result[ServerAnswer, Refusal] or None
            None if no other entry executed it. The caller of this method serves the request here
            unless there is an answer: a read may run twice, and the claim of a booking's key
            shows whether the other entry ran it.
        """
        if request.hops:
            return None
        for _ in range(MAX_SPILLOVER_OFFERS):
            wait_s = self.dispatcher.expected_wait_s(request)
            # In another region, claiming a booking's key would add a long way to the store.
            may_leave_region = not request.key
            offer = (
                self.spillover_selector.choose(request.service, wait_s, may_leave_region)
                if wait_s
                else None
            )
            if offer is None or self._local_refusal(request) is not None:
                return None
            result = self.forwarder.offer(request, offer)
            if was_executed(result):
                self.spillover_selector.clear_backoff(offer.entry.name, request.service)
                return result
            self.spillover_selector.start_backoff(offer.entry.name, request.service)
            if not lacked_capacity(result):
                return None if was_not_executed(result) else _unknown_outcome(offer.entry)
            self.metrics.count("retries", service=request.service, reason="no_room")
        return None

    def _serve_here(self, request):
        obstacle = self._local_refusal(request)
        if obstacle is not None:
            return Err(obstacle)
        if request.key:
            return self.bookings.serve(request)
        return self.dispatcher.run(request)

    def _local_refusal(self, request):
        """Return the refusal if this place may not serve the request under the plan, else None."""
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

    def _may_forward(self, request):
        service = self.settings.topology.service_by_name[request.service]
        return request.hops == 0 and service.is_idempotent(request.method)

    def _alternative_entries(self, request, code):
        """Return other entries that may have room for a request refused with a code, best first."""
        if self.plans.plan is None:
            return ()
        neighbours = []
        if code in LOCAL_ENTRY_CODES:
            view = self.live.refresh()
            neighbours = view.neighbours_with_room(request.service, self.own.place, self.own.name)
        return (*neighbours, *self._entries_of_other_places(request))[:ENTRY_LIMIT]

    def _entries_of_other_places(self, request):
        caller = request.fingerprint
        places = self._ranked_places(request.service, caller, "", frozenset((self.own.place,)))
        view = self.live.refresh()
        open_places = [place for place in places if view.may_have_room(request.service, place)]
        return self._ranked_entries(request.service, caller, open_places)

    def _forward(self, request, entry, refusal):
        """Forward a request that this entry refuses."""
        result = self.forwarder.forward(request, entry, refusal.failure.code.name.lower())
        if result.is_err() and result.err().outcome is Outcome.NOT_RUN:
            return Err(evolve(refusal, entries=(entry_as_json(entry),)))
        return result


def _unknown_outcome(entry):
    message = f"what became of the request at {entry.name} is not known"
    return refused(Code.PEER_ENTRY_FAILED, message, "send it again", Outcome.UNKNOWN)


def _with_key_outcome(refusal, request):
    """Return the refusal with the outcome that holds for the request's idempotency key.

    An earlier request with the same key may have run at another entry. Unless the table or the
    caller rules this out, the outcome is unknown rather than not run.
    """
    settled = not request.key or request.first_use or refusal.key_settled
    if settled or refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return evolve(refusal, outcome=Outcome.UNKNOWN)


def entry_as_json(entry):
    """Return the JSON form of an entry in answers."""
    return {"name": entry.name, "place": entry.place, "address": entry.address}


def refused(code, message, remedy, outcome=Outcome.NOT_RUN):
    """Return a failed result whose refusal has a result code."""
    return Err(refuse(code, message, remedy, outcome))
