"""Organisations: whose request it is, and whether it may be served."""
