"""The daemon on the users' platform: sockets and timers round the decisions on requests."""
