"""Interface to the platform: its store, its servers' rows, and its request and answer headers."""
