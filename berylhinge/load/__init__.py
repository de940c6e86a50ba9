"""Generate load and run experiments."""
