"""Serve session-oriented callers from one instance of the fleet."""
