from __future__ import annotations

from random import Random

import pytest

from ..permit_phase import advance_phase, GrantPhase
from ..permits import (
    AttestationRequest,
    AttestationResponse,
    CLOCK_DRIFT_FRACTION,
    expires_at,
    FetchRoster,
    is_held,
    MAX_STORE_SILENCE_SECONDS,
    new_permit,
    PERMIT_SECONDS,
    PermitState,
    PermitWithdrawn,
    RosterRead,
    RosterReceived,
    SendMessage,
    step,
    Tick,
)
from ..roster import (
    build_next_roster,
    choose_attesters,
    drop_reconciled_changes,
    find_minter,
    Member,
    Roster,
    unreconciled_removals,
)
from ..state_charts import load_state_chart

RNG = Random(1)
MEMBERS = [Member(f"i{number}", 1) for number in range(7)]
HELD_SECONDS = PERMIT_SECONDS * (1 - CLOCK_DRIFT_FRACTION)


def roster(members: list[Member] = MEMBERS, after: Roster | None = None) -> Roster:
    proposed = build_next_roster(after or Roster(), members)
    assert proposed is not None
    return proposed


def confirmed(count: int, *, epoch: int = 1, now: float = 100.0) -> PermitState:
    state = new_permit(MEMBERS[0])
    state, _ = step(state, RosterRead(roster(), 0.0), 0.0, RNG)
    state, effects = step(state, Tick(), now, RNG)
    sequence = state.sequence
    chosen = choose_attesters(state.roster.members, state.me)
    assert {effect.to for effect in effects if isinstance(effect, SendMessage)} <= set(
        chosen
    )
    for attester in chosen[:count]:
        answer = AttestationResponse(attester, state.me, epoch, sequence, True)
        state, _ = step(state, answer, now + 1.0, RNG)
    return state


@pytest.mark.parametrize(("count", "held"), [(0, False), (2, False), (3, True)])
def test_a_majority_of_attesters_renews_from_the_time_of_sending(
    count: int, held: bool
) -> None:
    state = confirmed(count)
    assert is_held(state, 101.0) == held
    if held:
        assert expires_at(state) == pytest.approx(100.0 + HELD_SECONDS)


def test_attestations_of_another_epoch_do_not_count() -> None:
    assert not is_held(confirmed(5, epoch=2), 101.0)


def test_the_permit_expires_at_the_bound_without_store_contact() -> None:
    bound = MAX_STORE_SILENCE_SECONDS * (1 - CLOCK_DRIFT_FRACTION)
    assert is_held(confirmed(5, now=bound - 1.0), bound - 0.1)
    assert not is_held(confirmed(5, now=bound - 1.0), bound + 0.1)


@pytest.mark.parametrize(
    ("requester", "epoch", "attested", "fetches"),
    [
        (MEMBERS[1], 2, True, False),
        (MEMBERS[0], 2, False, False),
        (MEMBERS[0], 1, False, False),
        (MEMBERS[1], 1, False, False),
        (MEMBERS[1], 3, False, True),
    ],
)
def test_an_attester_confirms_only_members_of_its_own_epoch(
    requester: Member, epoch: int, attested: bool, fetches: bool
) -> None:
    state = new_permit(MEMBERS[2])
    newer = roster(MEMBERS[1:], roster())
    state, _ = step(state, RosterReceived(newer), 0.0, RNG)
    request = AttestationRequest(requester, MEMBERS[2], epoch, 1)
    _, effects = step(state, request, 0.0, RNG)
    answers = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    assert answers == [AttestationResponse(MEMBERS[2], requester, 2, 1, attested)]
    assert any(isinstance(effect, FetchRoster) for effect in effects) == fetches


def test_the_roster_keeps_each_attester_set_until_it_is_reconciled() -> None:
    first = roster()
    second = roster([*MEMBERS, Member("i9", 1)], first)
    third = roster(
        [member for member in second.members if member != MEMBERS[0]], second
    )
    (removed,) = unreconciled_removals(third)
    assert removed.member == MEMBERS[0] and removed.epoch == 3
    assert choose_attesters(first.members, MEMBERS[0]) in removed.attester_sets
    assert choose_attesters(second.members, MEMBERS[0]) in removed.attester_sets
    assert unreconciled_removals(drop_reconciled_changes(third, 3)) == ()
    assert drop_reconciled_changes(third, 3).changes == ()
    assert find_minter(third) in third.members


def test_a_resigned_member_needs_no_reconciliation() -> None:
    first = roster()
    second = build_next_roster(first, MEMBERS, resigned=MEMBERS[:1])
    assert second is not None
    assert MEMBERS[0] not in second.members
    assert unreconciled_removals(second) == ()


def test_the_grant_chart_follows_the_permit() -> None:
    state, phase = confirmed(5), GrantPhase()
    assert advance_phase(phase, new_permit(MEMBERS[0]), 0.0) == phase
    phase = advance_phase(phase, state, 101.0)
    assert phase == GrantPhase("held", ("confirmed",))
    assert advance_phase(phase, state, 101.0) == GrantPhase("held")
    phase = advance_phase(phase, state, 110.0)
    assert phase == GrantPhase("lapsed", ("expired",))
    removed, _ = step(state, RosterReceived(roster(MEMBERS[1:], roster())), 111.0, RNG)
    assert advance_phase(phase, removed, 111.0) == GrantPhase("unheld", ("removed",))
    withdrawn, _ = step(state, PermitWithdrawn(), 112.0, RNG)
    assert advance_phase(phase, withdrawn, 112.0) == GrantPhase(
        "withdrawn", ("withdrawn",)
    )


@pytest.mark.parametrize("name", ["instance", "grant"])
def test_every_state_is_reached_and_every_event_handled(name: str) -> None:
    chart = load_state_chart(name)
    reached, added = set(), {chart.initial}
    while added:
        reached |= added
        added = {
            to for (at, _), to in chart.transitions.items() if at in reached
        } - reached
    assert reached == set(chart.states)
    assert {event for _, event in chart.transitions} == set(chart.events)
