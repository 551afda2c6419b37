"""The daemon: sockets, timers and HTTP around the core."""
