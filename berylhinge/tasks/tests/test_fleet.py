from __future__ import annotations

import pytest

from ...core.roster import build_next_roster, Member, Roster
from ..fleet import FleetTask
from ..logs import Log

ME = Member("me", 5)
A, B, OLD = Member("a", 1), Member("b", 1), Member("b", 0)


class FakeLinks:
    def register(self, kind, handler=None):
        pass

    register_call = register


def make_task(live: set[Member], gone: set[Member]) -> FleetTask:
    return FleetTask(
        ME,
        links=FakeLinks(),
        platform=None,
        live=lambda: frozenset(live),
        is_gone=lambda member: member in gone,
        is_suspect=lambda instance: False,
        serving_count=3,
        news=lambda: (1, ()),
        on_proof=lambda *proof: None,
        log=Log("fleet", "me"),
    )


@pytest.mark.parametrize(
    ("members", "live", "gone", "expected"),
    [
        ((), {ME}, set(), {ME}),
        ((A,), {ME, A}, set(), {ME, A}),
        ((ME, A), {ME}, set(), None),
        ((ME, A, B), {ME, A}, {B}, {ME, A}),
        ((ME, OLD), {ME, B}, {OLD}, {ME}),
        ((ME,), {ME, A, B}, set(), None),
        ((A, B), set(), set(), None),
        ((ME, A), {A}, set(), None),
    ],
    ids=[
        "the first adds itself",
        "a newcomer adds itself alone",
        "one missing from a view stays",
        "a dead one is removed",
        "a replaced one is removed",
        "others are not added",
        "one not yet live changes nothing",
        "a leaving one stays until it resigns",
    ],
)
def test_which_roster_an_instance_calls_for(members, live, gone, expected):
    task = make_task(live, gone)
    wanted = task.wanted(build_next_roster(Roster(), members) or Roster())
    found = None if wanted is None else set(wanted.members)
    assert found == expected
