"""The path of a request: from a caller to an upstream and back."""
