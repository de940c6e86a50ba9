"""An instance never trusts keys older than a majority of its vouchers knows."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Success

from berylhinge.core import key_freshness
from berylhinge.core.configuration_sync import VersionReceived
from berylhinge.core.key_freshness import (
    check_keys_proven,
    new_key_proofs,
    VersionProof,
)
from berylhinge.core.rendezvous import top_nodes

from .adoption_fleet import AdoptionFleet, configuration

SIZE = 9
VOUCHERS = 5
PROOF_SECONDS = 0.7
RUN_SECONDS = 8.0
OLD, NEW = 3, 4


class ProvingFleet(AdoptionFleet):
    """Start one instance in an outage, among peers of which some lag behind."""

    def __init__(self, seed: int, *, lagging: int, lost: float) -> None:
        super().__init__(SIZE, seed=seed, loss_fraction=lost, version=NEW)
        self.store_up = False
        self.newcomer = self.names[0]
        others = self.names[1:]
        self.vouchers = top_nodes(others, f"voucher/{self.newcomer}", VOUCHERS)
        for name in self.rng.sample(others, lagging):
            old = self.states[name]._replace(configuration=configuration(OLD))
            self.states[name] = old
            self.isolate(name)
        self.proofs = new_key_proofs()
        self.trusted: list[tuple[int, int]] = []
        self.restart(self.newcomer)
        self.schedule(0.0, self.prove, None)
        self.schedule(0.0, self.watch, None)

    def isolate(self, name: str) -> None:
        """Keep a lagging instance behind: it hears nothing, but it answers."""
        state = self.states[name]
        self.states[name] = state._replace(peers=(), next_store_read_at=1e9)

    def prove(self, _: None) -> None:
        for voucher in self.vouchers:
            if self.rng.random() >= self.loss_fraction:
                answered = (voucher, self.states[voucher].version, self.now)
                self.schedule(self.now + 0.01, self.take_proof, answered)
        self.schedule(self.now + PROOF_SECONDS, self.prove, None)

    def take_proof(self, answered: tuple[str, int, float]) -> None:
        voucher, version, sent_at = answered
        self.proofs = key_freshness.record_attestation(
            self.proofs, voucher, version, sent_at
        )
        self.deliver(self.newcomer, VersionReceived(voucher, version))

    def watch(self, _: None) -> None:
        version = self.states[self.newcomer].version
        proof = check_keys_proven(self.proofs, version, self.vouchers, self.now)
        if isinstance(proof, Success):
            knowing = sum(self.states[name].version >= NEW for name in self.vouchers)
            self.trusted.append((version, knowing))
        self.schedule(self.now + 0.05, self.watch, None)

    def wrongly_trusted(self) -> int:
        """Count moments of trust in old keys while most vouchers knew better."""
        return sum(
            version < NEW and knowing > VOUCHERS // 2
            for version, knowing in self.trusted
        )


def run(seed: int, lagging: int, lost: float) -> ProvingFleet:
    fleet = ProvingFleet(seed, lagging=lagging, lost=lost)
    fleet.run(RUN_SECONDS)
    return fleet


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 2**32), st.integers(0, 8), st.sampled_from([0.0, 0.1, 0.4]))
def test_a_start_in_an_outage_trusts_no_keys_that_most_know_to_be_old(
    seed: int, lagging: int, lost: float
) -> None:
    assert run(seed, lagging, lost).wrongly_trusted() == 0


def test_it_comes_to_trust_the_newest_version() -> None:
    fleet = run(1, 3, 0.1)
    assert (NEW, 5) in fleet.trusted or (NEW, 4) in fleet.trusted


def test_the_property_catches_proofs_without_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def trusting(state: Any, voucher: str, version: int, sent_at: float) -> Any:
        state.attestations[voucher] = VersionProof(sent_at, 0)
        return state

    monkeypatch.setattr(key_freshness, "record_attestation", trusting)
    assert sum(run(seed, 4, 0.4).wrongly_trusted() for seed in range(20)) > 0
