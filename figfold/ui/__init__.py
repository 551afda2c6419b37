"""The operators' command line; only this package prints."""
