"""Define the messages exchanged between processes."""
