"""Limits of organisations over all entries: token buckets whose shares move by leases."""
