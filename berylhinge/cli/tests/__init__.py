"""Test the sub-package."""
