from __future__ import annotations

from typing import Any

import pytest

from ..configuration import (
    build_next_configuration,
    Configuration,
    Edit,
    empty_configuration,
    find_change_version,
    GrantKey,
    ReplaceDeclaration,
    SetUpstreamState,
    WithdrawKey,
)
from ..declaration_diff import diff_declarations, FieldDifference
from .sample_declarations import (
    organisation_record,
    parsed_sample,
    sample_document,
    upstream_record,
)

SALT = "A" * 22 + "=="
HASH = "A" * 43 + "="
OTHER_HASH = "B" * 42 + "A="


def key(**changes: str) -> Any:
    plain = {"id": "k", "organisation": "ark", "state": "granted"}
    return {**plain, "salt": SALT, "hash": HASH, **changes}


def build_first(**changes: Any) -> Configuration:
    edit = ReplaceDeclaration(parsed_sample(**changes))
    return build_next_configuration(empty_configuration(), edit, "c1").unwrap()


def apply_to(current: Configuration, edit: Edit) -> Configuration:
    return build_next_configuration(current, edit, "c2").unwrap()


def test_changes_are_recorded_with_versions() -> None:
    second = apply_to(build_first(), GrantKey(key()))
    assert second.version == 2
    assert find_change_version(second, "c1") == 1
    assert find_change_version(second, "c2") == 2
    assert find_change_version(second, "c3") is None


def test_version_exceeds_version_in_force() -> None:
    edit = ReplaceDeclaration(parsed_sample())
    result = build_next_configuration(
        empty_configuration(), edit, "c", version_in_force=9
    )
    assert result.unwrap().version == 10


@pytest.mark.parametrize(
    "stored, declared_keys, expected",
    [
        ([key()], None, [("k", "granted")]),
        ([key()], [], [("k", "granted")]),
        ([], [key()], [("k", "granted")]),
        ([key(state="withdrawn")], [key()], [("k", "withdrawn")]),
        ([key()], [key(state="withdrawn")], [("k", "withdrawn")]),
        ([key()], [key(id="m")], [("k", "granted"), ("m", "granted")]),
    ],
)
def test_replacement_merges_keys_and_keeps_withdrawals(
    stored: list[Any], declared_keys: list[Any] | None, expected: list[Any]
) -> None:
    document = sample_document()
    del document["keys"]
    if declared_keys is not None:
        document["keys"] = declared_keys
    found = apply_to(build_first(keys=stored), ReplaceDeclaration(document))  # type: ignore[arg-type]
    keys = found.declaration["keys"]
    assert [(one["id"], one["state"]) for one in keys] == expected


def test_removing_organisation_removes_its_keys() -> None:
    current = build_first(keys=[key()])
    edit = ReplaceDeclaration(
        parsed_sample(organisations=[organisation_record("bod", home="south")])
    )
    assert apply_to(current, edit).declaration["keys"] == []


@pytest.mark.parametrize(
    "edit, path",
    [
        (WithdrawKey("absent"), "$.keys"),
        (SetUpstreamState("absent", "leaving"), "$.upstreams"),
        (GrantKey(key()), "$.keys[1].id"),
        (GrantKey(key(id="m", organisation="absent")), "$.keys[1].organisation"),
        (ReplaceDeclaration(parsed_sample(keys=[key(hash=OTHER_HASH)])), "$.keys[0]"),
        (ReplaceDeclaration(parsed_sample(upstreams=[])), "$.groups[0]"),
    ],
)
def test_invalid_edits_are_refused(edit: Edit, path: str) -> None:
    errors = build_next_configuration(build_first(keys=[key()]), edit, "c2").failure()
    assert errors[0].path == path


def test_key_withdrawal_and_upstream_state() -> None:
    current = apply_to(build_first(keys=[key()]), WithdrawKey("k"))
    current = apply_to(current, SetUpstreamState("db-4", "leaving"))
    changed = diff_declarations(
        build_first(keys=[key()]).declaration, current.declaration
    )
    assert changed == (
        FieldDifference("keys.k.state", '"granted"', '"withdrawn"'),
        FieldDifference("upstreams.db-4.state", None, '"leaving"'),
    )


UPSTREAMS = [upstream_record(number) for number in range(6)]
EXTRA = [upstream_record(number, group="g1") for number in (6, 7)]


@pytest.mark.parametrize(
    "upstreams, refused",
    [
        ([*UPSTREAMS, EXTRA[0]], []),
        ([*UPSTREAMS, *EXTRA], ["$.upstreams (group g1)"]),
        (UPSTREAMS[1:], []),
        (UPSTREAMS[2:], ["$.upstreams (group g1)"]),
        ([*UPSTREAMS[1:], EXTRA[0]], ["$.upstreams (group g1)"]),
        ([upstream_record(0, control="127.0.0.1:9000"), *UPSTREAMS[1:]], []),
        (
            [
                *(upstream_record(n, data=f"127.0.0.2:{n + 1}") for n in (0, 1)),
                *UPSTREAMS[2:],
            ],
            ["$.upstreams (group g1)"],
        ),
        (
            [upstream_record(0, slots=9), upstream_record(1, slots=9), *UPSTREAMS[2:]],
            [],
        ),
        ([upstream_record(0, group="g2"), *UPSTREAMS[1:]], []),
    ],
)
def test_at_most_one_member_changes_per_version(
    upstreams: list[Any], refused: list[str]
) -> None:
    edit = ReplaceDeclaration(parsed_sample(upstreams=upstreams))
    result = build_next_configuration(build_first(), edit, "c2")
    errors = result.swap().value_or(())
    assert [error.path for error in errors] == refused


def test_membership_change_records_its_version() -> None:
    current = build_first()
    assert current.membership_versions == {"g1": 1, "g2": 1}
    edit = ReplaceDeclaration(parsed_sample(upstreams=UPSTREAMS[1:]))
    assert apply_to(current, edit).membership_versions == {"g1": 2, "g2": 1}


def test_differences_conceal_salts_and_hashes() -> None:
    changed = diff_declarations(parsed_sample(), parsed_sample(keys=[key()]))
    assert HASH not in str(changed)
    assert FieldDifference("keys.k.hash", None, "(concealed)") in changed
