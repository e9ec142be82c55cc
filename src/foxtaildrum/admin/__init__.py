"""What operators and upstreams call, and what the system tells of itself."""
