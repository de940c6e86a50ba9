from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

from ...core.configuration import ReplaceDeclaration, SetUpstreamState
from ...core.configuration_update import EditApplied, StoreUnreachable
from ...core.tests.sample_declarations import parsed_sample, upstream_record
from ...standins.platform import Platform, start_platform
from ..configuration_store import load_configuration, run_edit
from ..platform_client import PlatformClient


@pytest.fixture
def platform() -> Iterator[Platform]:
    started = start_platform()
    yield started
    started.stop()


def large_declaration(slots: int = 2) -> Any:
    upstreams = [
        upstream_record(
            number,
            data=f"10.1.{number // 200}.1:{1 + number % 200}",
            control=f"10.2.{number // 200}.1:{1 + number % 200}",
            group=f"g{1 + number // 9}",
            labels={"rack": f"rack-{number:050}"},
            slots=slots if number == 7 else 2,
        )
        for number in range(2_400)
    ]
    groups = [
        {"id": f"g{number + 1}", "labels": {"home": "north"} if number == 0 else {}}
        for number in range(267)
    ]
    route = {"id": "r", "groups": {"match_labels": {"home": "north"}}, "open": True}
    return parsed_sample(upstreams=upstreams, groups=groups, routes=[route])


def apply_edit(platform: Platform, edit: Any, change_id: str = "c") -> Any:
    client = PlatformClient([platform.address], timeout_seconds=0.3)
    try:
        return run_edit(client, edit, change_id=change_id, rng=Random(1))
    finally:
        client.close()


def load_stored(platform: Platform) -> Any:
    client = PlatformClient([platform.address])
    return load_configuration(client).unwrap()


def part_keys(platform: Platform) -> set[str]:
    return {
        key.rpartition("/")[2]
        for key, item in platform.store.items.items()
        if "/" in key and item.value is not None
    }


def test_an_edit_is_stored(platform: Platform) -> None:
    assert isinstance(
        apply_edit(platform, ReplaceDeclaration(parsed_sample())), EditApplied
    )
    assert load_stored(platform).configuration.version == 1


def test_a_swap_whose_answer_is_lost_is_applied_once(platform: Platform) -> None:
    apply_edit(platform, ReplaceDeclaration(parsed_sample()), "first")
    platform.faults.update({"drop_answers": 1})
    outcome = apply_edit(platform, SetUpstreamState("db-0", "leaving"), "second")
    assert platform.faults.report()["drop_answers"] == 0
    assert isinstance(outcome, EditApplied)
    configuration = load_stored(platform).configuration
    assert [change["id"] for change in configuration.changes] == ["first", "second"]


def test_an_unreachable_store_is_reported(
    platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("berylhinge.core.configuration_update.READ_RETRIES_LIMIT", 2)
    platform.stop()
    outcome = apply_edit(platform, SetUpstreamState("db-0", "leaving"))
    assert outcome == StoreUnreachable(may_be_stored=False, detail=outcome.detail)


def test_large_configurations_share_parts_and_delete_unused_ones(
    platform: Platform,
) -> None:
    apply_edit(platform, ReplaceDeclaration(large_declaration()), "first")
    before = load_stored(platform)
    assert len(before.part_digests) > 1
    assert part_keys(platform) == before.part_digests
    assert isinstance(
        apply_edit(platform, ReplaceDeclaration(large_declaration(slots=5)), "b"),
        EditApplied,
    )
    after = load_stored(platform)
    assert len(after.part_digests - before.part_digests) == 1
    assert part_keys(platform) == after.part_digests
    assert after.configuration.version == 2
