"""Gateway daemon: the sockets, timers and loops around the rules in `figfold.core.traffic`."""
