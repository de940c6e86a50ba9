"""Own the sockets by which an instance serves session-oriented callers."""
