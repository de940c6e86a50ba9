"""Decide without clocks, sockets or randomness of its own."""
