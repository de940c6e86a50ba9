"""Decide where statements of sessions run, which ones wait and which database leads."""
