"""Shares of each region's requests that the servers of each region serve."""
