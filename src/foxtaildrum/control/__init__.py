"""Tables and claims that survive failures: the replicated log and its followers."""
