"""Rules for requests that any entry may send to any backend server of a service."""
