"""Measure speed and cost."""
