"""Translate the terms that a deployment has agreed on into features of the pooler."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FAIR_SLOTS_TERM = "pressure"
READ_BALANCING_TERM = "pool"
EVACUATION_TERM = "places"
FEATURE_TERMS = (FAIR_SLOTS_TERM, READ_BALANCING_TERM, EVACUATION_TERM)


class Features(NamedTuple):
    """Tell which features a deployment asks for; none by default."""

    shares_slots_fairly: bool = False
    balances_reads: bool = False
    evacuates: bool = False


NO_FEATURES = Features()


def features_of(agreed_terms: Iterable[str]) -> Features:
    """Return the features that the agreed terms ask for; ignore other terms."""
    terms = frozenset(agreed_terms)
    return Features(
        shares_slots_fairly=FAIR_SLOTS_TERM in terms,
        balances_reads=READ_BALANCING_TERM in terms,
        evacuates=EVACUATION_TERM in terms,
    )
