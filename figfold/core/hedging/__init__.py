"""Extra attempts for requests that may be repeated, within a limit that the operator sets."""
