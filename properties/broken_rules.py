"""Break one rule of the rates each, to show that the checks would notice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylhinge.core import minting, permits, unit_transfers
from berylhinge.core.buckets import Bucket, burst_tokens
from berylhinge.core.minting import MintState
from berylhinge.core.permits import AttestationRequest, AttestationResponse, PermitState
from berylhinge.core.rates import RatesState, UnitHolding
from berylhinge.core.unit_messages import UnitTransfer

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

take, mint, adopt, safe_at = (
    unit_transfers.remove_units,
    minting.mint_lost_units,
    unit_transfers.adopt_roster,
    minting.mint_allowed_at,
)


def no_permit_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(permits, "expires_at", lambda state: float("inf"))


def mint_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(minting, "mint_allowed_at", lambda state: float("-inf"))


def give_without_deducting(patch: pytest.MonkeyPatch) -> None:
    def keep(bucket: Bucket, units: int) -> float:
        held, tokens = bucket.units, bucket.tokens
        part = take(bucket, units)
        bucket.units, bucket.tokens = held, tokens
        return part

    patch.setattr(unit_transfers, "remove_units", keep)


def take_repeats(patch: pytest.MonkeyPatch) -> None:
    def always(state: RatesState, event: UnitTransfer) -> bool:
        return True

    patch.setattr(unit_transfers, "record_if_new", always)


def vouch_for_anyone(patch: pytest.MonkeyPatch) -> None:
    def vouch(state: PermitState, event: AttestationRequest) -> AttestationResponse:
        return AttestationResponse(
            state.me, event.requester, event.epoch, event.sequence, True
        )

    patch.setattr(permits, "answer_attestation", vouch)


def mint_full_buckets(patch: pytest.MonkeyPatch) -> None:
    def full(state: MintState, rates: RatesState, now: float) -> MintState:
        held = {name: bucket.units for name, bucket in rates.buckets.items()}
        state = mint(state, rates, now)
        for name, bucket in rates.buckets.items():
            fresh = bucket.units - held.get(name, 0)
            bucket.tokens += burst_tokens(fresh, rates.limits_by_organisation[name])
        return state

    patch.setattr(minting, "mint_lost_units", full)


def report_later_holdings(patch: pytest.MonkeyPatch) -> None:
    def current(rates: RatesState) -> tuple[UnitHolding, ...]:
        return tuple(
            UnitHolding(name, bucket.units) for name, bucket in rates.buckets.items()
        )

    patch.setattr(minting, "epoch_snapshot", current)


def mint_before_all_answered(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(minting, "uncounted_members", lambda state, rates: [])


def keep_units_over_a_removal(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(unit_transfers, "joined_epoch", lambda roster, member: 0)


RULES: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    rule.__name__: rule
    for rule in (
        no_permit_check,
        mint_at_once,
        give_without_deducting,
        take_repeats,
        vouch_for_anyone,
        mint_full_buckets,
        report_later_holdings,
        mint_before_all_answered,
        keep_units_over_a_removal,
    )
}
