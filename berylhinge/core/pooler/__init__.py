"""Decide for session-oriented callers: where units run, who waits, who leads."""
