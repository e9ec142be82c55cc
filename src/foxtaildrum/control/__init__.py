"""Replicated log of the tables, its followers, and claims of idempotency keys."""
