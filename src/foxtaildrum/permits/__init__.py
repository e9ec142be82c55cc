"""Permits for requests to subjects whose rate is limited over all instances."""
