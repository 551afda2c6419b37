"""Listening socket that stops without cutting off connections that it has accepted."""

import errno
from collections import deque
from socket import SHUT_RDWR

import eventlet
from attrs import Factory, define
from eventlet.event import Event
from eventlet.greenio.base import socket_accept

NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
ACCEPT_RETRY_S = 0.1


@define(eq=False)
class StoppableListener:
    """Wraps a listening socket for the WSGI server, which closes idle connections when it ends.

    After a stop the server still gets the connections that were pending, and then none any more.
    """

    sock: object
    _pending: deque = Factory(deque)
    _is_stopped: bool = False

    def accept(self):
        """Return the next connection and its address."""
        while not self._is_stopped:
            try:
                return self.sock.accept()
            except OSError as error:
                if self._is_stopped:
                    break
                if error.errno not in NO_DESCRIPTOR_ERRORS:
                    raise
                # The WSGI server would end. Connections wait until a descriptor is free.
                eventlet.sleep(ACCEPT_RETRY_S)
        if not self._pending:
            Event().wait()
        client, address = self._pending.popleft()
        client.setblocking(False)
        return type(self.sock)(client), address

    def stop(self):
        """Accept no connection that is not pending now."""
        self._is_stopped = True
        while (accepted := socket_accept(self.sock.fd)) is not None:
            self._pending.append(accepted)
        try:
            self.sock.shutdown(SHUT_RDWR)
        except OSError:
            # Closed already, so that nothing is accepted either.
            pass

    def __getattr__(self, name):
        return getattr(self.sock, name)
