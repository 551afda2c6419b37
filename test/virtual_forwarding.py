"""Requests that one simulated entry forwards to another."""

import eventlet
from attrs import Factory, define, evolve
from eventlet.event import Event

RESET = "reset"


@define(eq=False)
class ForwardedRequest:
    """A forwarded request, with the connection on which its sender waits for the answer.

    Attributes
    ----------
    sender, process : str, str
        The entry that forwards the request, and its process.
    receiver : str
        The entry that serves the request.
    """

    world: object
    sender: str
    process: str
    receiver: str
    end: Event = Factory(Event)

    def deliver(self, request, timeout_s):
        """Deliver the request and return its result, `RESET`, or None after a time-out."""
        hub = self.world.hub
        receiver_process = self.world.process_by_name.get(self.receiver)
        self.world.forwarded_requests.append(self)
        if receiver_process is not None and not self._is_disconnected():
            hub.run_as(receiver_process, eventlet.spawn_n, self._serve, request, timeout_s)
        try:
            with eventlet.Timeout(timeout_s, False):
                return self.end.wait()
        finally:
            self.world.forwarded_requests.remove(self)

    def reset(self):
        """Reset the connection; a request that was delivered is still served."""
        self._finish(RESET)

    def _is_disconnected(self):
        return frozenset((self.sender, self.receiver)) in self.world.disconnected_pairs

    def _serve(self, request, timeout_s):
        node = self.world.node_by_name[self.receiver]
        # A frozen process reads the request when it resumes, and its deadline counts from then.
        deadline_s = self.world.hub.now + timeout_s
        result = node.router.serve(evolve(request, deadline_s=deadline_s))
        if not self._is_disconnected():
            self._finish(result)

    def _finish(self, result):
        if not self.end.ready():
            # The answer resumes a green thread of the sending process.
            self.world.hub.run_as(self.process, self.end.send, result)
