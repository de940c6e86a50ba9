"""Fault: the store gives out revisions and leases again after a restore."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from ...core.pooler.store_eras import era_of, qualify, revision_in_era
from ...standins import metadata_store as standin
from ...tasks.http_connection import HttpReply
from ...tasks.http_server import Address, server_address
from ..metadata_store import (
    Conflict,
    HistoryLost,
    LeaseGone,
    MetadataStore,
    Snapshot,
)
from ..store_replies import decode_era

KEY = "berylhinge/k"


@pytest.fixture
def stored() -> Iterator[standin.MetadataStore]:
    found = standin.MetadataStore(Address("127.0.0.1", 0))
    yield found
    found.close()


@pytest.fixture
def store(stored: standin.MetadataStore) -> MetadataStore:
    return MetadataStore(server_address(stored.server))


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        (qualify(1, 21), qualify(1, 22)),
        (qualify(1, 21), qualify(2, 0)),
        (qualify(1, 21), qualify(2, 19)),
        (qualify(0, 0), qualify(1, 0)),
        (qualify(9, 10**11), qualify(10, 1)),
    ],
)
def test_qualified_revisions_never_go_back(earlier: int, later: int) -> None:
    assert earlier < later
    assert qualify(era_of(later), revision_in_era(later)) == later


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("1", 1),
        ("12", 12),
        # An error may come from something in front of the store.
        (None, 7),
        ("", None),
        ("-1", None),
        ("two", None),
        ("9999999", None),
        (["1", "2"], None),
    ],
)
def test_the_era_of_an_answer(text: object, expected: int | None) -> None:
    headers = {} if text is None else {"Store-Era": text}
    assert decode_era(HttpReply(200, b"", headers), 7) == expected


# Guards against: a condition on a revision of before the restore held for another change
# that was given the same revision.
@pytest.mark.parametrize("is_known", [True, False])
def test_a_condition_of_an_earlier_era_does_not_hold(
    stored: standin.MetadataStore, store: MetadataStore, is_known: bool
) -> None:
    copy = stored.make_copy()
    revision = store.put_if_unchanged(conditions={}, puts={KEY: b"mine"}).unwrap()
    assert isinstance(revision, int)
    stored.restore(copy)
    stored.put(KEY, b"another")
    if is_known:
        assert store.newest_revision(KEY).unwrap() == qualify(
            2, revision_in_era(revision)
        )
    found = store.put_if_unchanged(conditions={KEY: revision}, puts={KEY: b"late"})
    assert isinstance(found.unwrap(), Conflict)


@pytest.mark.parametrize("is_known", [True, False])
def test_a_watch_from_an_earlier_era_has_lost_its_history(
    stored: standin.MetadataStore, store: MetadataStore, is_known: bool
) -> None:
    copy = stored.make_copy()
    stored.put(KEY, 1)
    after = store.newest_revision(KEY).unwrap()
    stored.restore(copy)
    # The revision to watch from exists again.
    stored.put("op/other", 1)
    stored.put(KEY, 2)
    if is_known:
        store.newest_revision(KEY)
    found = store.watch("", after=after, wait_seconds=0.2).unwrap()
    assert isinstance(found, HistoryLost)
    assert store.read_all("").unwrap().revision > after


# Guards against: a lease of before the restore kept another instance's lease alive, or
# tied a key to it.
@pytest.mark.parametrize("is_known", [True, False])
def test_a_lease_of_an_earlier_era_has_ended(
    stored: standin.MetadataStore, store: MetadataStore, is_known: bool
) -> None:
    copy = stored.make_copy()
    lease = store.open_lease(5.0).unwrap()
    stored.restore(copy)
    other = MetadataStore(store.address).open_lease(5.0).unwrap()
    assert lease.number == other.number
    if is_known:
        store.newest_revision(KEY)
    found = store.put_if_unchanged(conditions={}, puts={KEY: b"v"}, lease=lease)
    assert isinstance(found.unwrap(), LeaseGone)
    assert store.renew_lease(lease).unwrap() is False
    assert store.renew_lease(other).unwrap() is True


# Guards against: an instance that learned the new era from a peer took its own conditions
# and watches for outdated until its next call of another kind.
def test_what_a_peer_knows_of_a_later_era_is_sent(
    stored: standin.MetadataStore, store: MetadataStore
) -> None:
    store.newest_revision(KEY)
    stored.restore(stored.make_copy())
    stored.put(KEY, 1)
    revision = MetadataStore(store.address).newest_revision(KEY).unwrap()
    found = store.watch("", after=revision, wait_seconds=0.0).unwrap()
    assert found == Snapshot((), revision)
    behind = MetadataStore(store.address)
    behind.era = 1
    changed = behind.put_if_unchanged(conditions={KEY: revision}, puts={KEY: b"v"})
    assert changed.unwrap() == revision + 1
