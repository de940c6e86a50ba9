from __future__ import annotations

import pytest

from ...core.roster import build_next_roster, Member, Roster
from ..capacity_task import CapacityTask
from ..logs import Log

OWN_MEMBER = Member("me", 5)
A, B, FORMER_B = Member("a", 1), Member("b", 1), Member("b", 0)


class FakeLinks:
    def register(self, kind, handler=None):
        pass

    register_call = register


def make_task(live: set[Member], gone: set[Member]) -> CapacityTask:
    return CapacityTask(
        OWN_MEMBER,
        links=FakeLinks(),
        platform=None,
        list_live_members=lambda: frozenset(live),
        is_gone=lambda member: member in gone,
        is_suspect=lambda instance: False,
        serving_count=3,
        get_version_state=lambda: (1, ()),
        on_version_proof=lambda *arguments: None,
        log=Log("fleet", "me"),
    )


@pytest.mark.parametrize(
    ("members", "live", "gone", "expected"),
    [
        ((), {OWN_MEMBER}, set(), {OWN_MEMBER}),
        ((A,), {OWN_MEMBER, A}, set(), {OWN_MEMBER, A}),
        ((OWN_MEMBER, A), {OWN_MEMBER}, set(), None),
        ((OWN_MEMBER, A, B), {OWN_MEMBER, A}, {B}, {OWN_MEMBER, A}),
        ((OWN_MEMBER, FORMER_B), {OWN_MEMBER, B}, {FORMER_B}, {OWN_MEMBER}),
        ((OWN_MEMBER,), {OWN_MEMBER, A, B}, set(), None),
        ((A, B), set(), set(), None),
        ((OWN_MEMBER, A), {A}, set(), None),
    ],
    ids=[
        "the first instance adds itself",
        "a new instance adds only itself",
        "a member that is not live but not gone stays",
        "a dead member is removed",
        "a replaced incarnation is removed",
        "other live instances are not added",
        "an instance that is not live proposes nothing",
        "a leaving instance stays until it resigns",
    ],
)
def test_an_instance_adds_itself_and_removes_gone_members(
    members, live, gone, expected
):
    task = make_task(live, gone)
    proposed = task.desired_roster(build_next_roster(Roster(), members) or Roster())
    members_proposed = None if proposed is None else set(proposed.members)
    assert members_proposed == expected
