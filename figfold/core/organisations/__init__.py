"""Organisations whose callers carry API keys: identification, homes, withdrawn keys."""
