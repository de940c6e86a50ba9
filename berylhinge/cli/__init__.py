"""Provide the command-line programs."""
