"""The choice of an upstream and what it rests on."""
