"""Instances and upstreams that know of each other, and the node composed of all parts."""
