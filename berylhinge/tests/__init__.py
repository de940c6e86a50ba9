"""Test the whole package."""
