"""Admission control: which requests an entry sends at once, holds or refuses under a shortage."""
