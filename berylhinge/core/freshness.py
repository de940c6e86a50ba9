"""Decide whether an instance may trust the keys that it knows.

An instance proves its keys by the store, or by a majority of its vouchers that know
no newer version; each proof counts from when its request was sent.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..types import InstanceId, Seconds

FRESH_SECONDS = 3.0
CLOCK_MARGIN = 0.01


class Proof(NamedTuple):
    """Record the version that a request sent at a time was answered with."""

    sent_at: Seconds
    version: int


class Freshness(NamedTuple):
    """Hold the newest proof of the store and of each voucher."""

    store: Proof | None
    vouchers: dict[InstanceId, Proof]


def new_freshness() -> Freshness:
    """Return a state without proofs."""
    return Freshness(None, {})


def store_confirmed(state: Freshness, version: int, sent_at: Seconds) -> Freshness:
    """Record a read of the store."""
    if state.store is not None and state.store.sent_at > sent_at:
        return state
    return state._replace(store=Proof(sent_at, version))


def voucher_confirmed(
    state: Freshness, voucher: InstanceId, version: int, sent_at: Seconds
) -> Freshness:
    """Record a voucher's answer, in place."""
    known = state.vouchers.get(voucher)
    if known is None or known.sent_at <= sent_at:
        state.vouchers[voucher] = Proof(sent_at, version)
    return state


def proven_at(
    state: Freshness, own_version: int, chosen: Collection[InstanceId]
) -> Seconds:
    """Return when the own version was last proven current, minus infinity if never."""
    never = float("-inf")
    store = state.store
    by_store = store.sent_at if store and store.version <= own_version else never
    times = sorted(
        (
            proof.sent_at
            for voucher in chosen
            if (proof := state.vouchers.get(voucher)) and proof.version <= own_version
        ),
        reverse=True,
    )
    need = len(chosen) // 2 + 1
    by_vouchers = times[need - 1] if chosen and len(times) >= need else never
    return max(by_store, by_vouchers)


def check_fresh(
    state: Freshness,
    own_version: int,
    chosen: Collection[InstanceId],
    now: Seconds,
) -> Result[Seconds, Refusal]:
    """Return until when keys may be trusted, or refuse."""
    until = proven_at(state, own_version, chosen) + FRESH_SECONDS * (1 - CLOCK_MARGIN)
    if now < until:
        return Success(until)
    detail = f"no proof within {FRESH_SECONDS} s that keys are current"
    return Failure(make_refusal(RefusalReason.KEYS_UNPROVEN, detail))
