"""Define the messages between processes."""
