"""The platform: its store, settings of its servers, and headers of requests and answers."""
