"""Guard against features that a deployment's terms do not ask for."""

from __future__ import annotations

import pytest

from ..terms import Features, features_of


@pytest.mark.parametrize(
    ("agreed_terms", "expected"),
    [
        ([], Features()),
        (["base", "quota", "unknown"], Features()),
        (["base", "pressure"], Features(shares_slots_fairly=True)),
        (["pool", "places"], Features(balances_reads=True, evacuates=True)),
    ],
)
def test_only_agreed_terms_switch_features_on(
    agreed_terms: list[str], expected: Features
) -> None:
    assert features_of(agreed_terms) == expected
