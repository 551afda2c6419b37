"""Decisions without input, output, clock or random source."""
