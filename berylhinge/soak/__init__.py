"""Soak real pooler processes with faults from outside, and check the promises."""

from .judge import judge, Violation
from .schedule import Fault, plan, shrink
from .soak import run_faults, Soaked

__all__ = ["Fault", "Soaked", "Violation", "judge", "plan", "run_faults", "shrink"]
