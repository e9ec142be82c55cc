"""Proxies HTTP requests from callers to upstreams and relays the responses."""
