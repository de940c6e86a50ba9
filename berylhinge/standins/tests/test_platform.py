from __future__ import annotations

import gevent
import pytest

from ...tasks.http_connection import ConnectionFailed
from ...wire.platform import VALUE_LIMIT_BYTES
from ..budget import CallBudget
from ..instances import InstanceDirectory
from ..platform import start_platform
from ..store import Store
from .helpers import call, eventually


def record(instance="i1", incarnation=1, state="live"):
    return {
        "instance": instance,
        "incarnation": incarnation,
        "place": "oslo-a",
        "state": state,
        "peer": "p",
        "callers": "c",
        "operators": "o",
    }


@pytest.fixture
def platform():
    platform = start_platform(list_lag_seconds=0.0)
    yield platform
    platform.stop()


def swap(platform, expected, value="v", **more):
    message = {"key": "k", "value": value, "expected_revision": expected, **more}
    return call(platform.address, "/v1/swap", message)


@pytest.mark.parametrize(
    ("expected", "swapped", "revision"), [(0, False, 1), (1, True, 2), (2, False, 1)]
)
def test_a_swap_needs_the_newest_revision(platform, expected, swapped, revision):
    assert swap(platform, 0, "old").body == {"swapped": True, "revision": 1}
    answer = swap(platform, expected, "new")
    assert answer.body == {"swapped": swapped, "revision": revision}
    found = call(platform.address, "/v1/get", {"key": "k"}).body
    assert found == {"value": "new" if swapped else "old", "revision": revision}


@pytest.mark.parametrize(
    ("path", "message", "status"),
    [
        ("/v1/swap", {"key": "k"}, 400),
        ("/v1/get", {"key": 1}, 400),
        ("/v1/none", {}, 404),
        (
            "/v1/swap",
            {"key": "k", "value": "x" * VALUE_LIMIT_BYTES, "expected_revision": 0},
            200,
        ),
        (
            "/v1/swap",
            {"key": "k", "value": "é" * VALUE_LIMIT_BYTES, "expected_revision": 0},
            413,
        ),
    ],
)
def test_bad_calls_are_refused(platform, path, message, status):
    assert call(platform.address, path, message).status == status


def test_a_watch_waits_for_a_newer_revision_and_counts_as_a_call(platform):
    swap(platform, 0)
    message = {"key": "k", "after_revision": 1, "timeout_seconds": 30}
    watch = gevent.spawn(call, platform.address, "/v1/watch", message)
    eventually(lambda: platform.budget.counts["waiting"] == 1)
    swap(platform, 1, "new")
    assert watch.get(timeout=5).body == {"value": "new", "revision": 2}
    counts = call(platform.fault_address, "/v1/calls").body
    assert (counts["watches"], counts["writes"], counts["waiting"]) == (1, 2, 0)
    message = {"key": "k", "after_revision": 2, "timeout_seconds": 0}
    assert call(platform.address, "/v1/watch", message).body["revision"] == 2


def test_a_lapsed_lease_deletes_its_keys_and_wakes_their_watches(platform):
    lease = call(platform.address, "/v1/lease/grant", {"ttl_seconds": 0.1}).body
    assert swap(platform, 0, lease=lease["lease"]).body["swapped"]
    message = {"key": "k", "after_revision": 1, "timeout_seconds": 30}
    found = call(platform.address, "/v1/watch", message).body
    assert found == {"value": None, "revision": 2}
    renewed = call(platform.address, "/v1/lease/renew", {"lease": lease["lease"]})
    assert renewed.body["held"] is False


@pytest.mark.parametrize(
    ("steps", "held"),
    [
        ([("renew", 4.0), ("renew", 8.0)], True),
        ([("renew", 4.0), ("renew", 9.0)], False),
        ([("revoke", 1.0)], False),
    ],
)
def test_a_lease_lasts_until_it_lapses_or_is_revoked(steps, held):
    store = Store()
    lease = store.grant(5.0, 0.0)
    request = {"key": "k", "value": "v", "expected_revision": 0, "lease": lease}
    assert store.swap(request, 0.0)["swapped"]
    for step, now in steps:
        getattr(store, step)(lease, now)
    assert (lease in store.leases) is held
    assert store.get("k") == {
        "value": "v" if held else None,
        "revision": 1 if held else 2,
    }
    again = {**request, "expected_revision": store.get("k")["revision"]}
    assert store.swap(again, steps[-1][1])["swapped"] is held


@pytest.mark.parametrize(
    ("times", "admitted"),
    [
        ([0.0] * 3, [True, True, False]),
        ([0.0, 0.0, 0.5, 0.6], [True, True, True, False]),
        ([0.0, 0.0, 9.0, 9.0, 9.0], [True, True, True, True, False]),
    ],
)
def test_a_budget_refills_at_its_rate(times, admitted):
    budget = CallBudget(reads_per_second=2.0, writes_per_second=2.0)
    assert [budget.admit_write(now) for now in times] == admitted
    assert [budget.admit_read(now) for now in times] == admitted
    assert budget.counts["refused"] == 2 * admitted.count(False)


def test_calls_over_the_budget_are_refused():
    platform = start_platform(writes_per_second=1.0, reads_per_second=1.0)
    assert [swap(platform, at).status for at in (0, 1)] == [200, 429]
    statuses = [
        call(platform.address, path, message).status
        for path, message in [
            ("/v1/get", {"key": "k"}),
            ("/v1/instances/list", {}),
            ("/v1/watch", {"key": "k", "after_revision": 0, "timeout_seconds": 9}),
        ]
    ]
    assert statuses == [200, 429, 429]
    platform.stop()


@pytest.mark.parametrize(
    ("now", "seen"),
    [
        (0.0, []),
        (1.9, []),
        (2.0, [1]),
        (5.9, [1]),
        (6.0, [2]),
        (9.0, [2]),
        (9.1, []),
    ],
)
def test_the_list_lags_and_forgets(now, seen):
    directory = InstanceDirectory(ttl_seconds=3.0, lag_seconds=2.0)
    directory.announce(record(incarnation=1), 0.0)
    directory.announce(record(incarnation=1), 2.5)
    directory.announce(record(incarnation=2), 4.0)
    assert [item["incarnation"] for item in directory.list(now)] == seen


def test_an_announced_instance_is_listed(platform):
    assert call(platform.address, "/v1/instances/announce", record()).status == 200
    leaving = record("i2", state="leaving")
    call(platform.address, "/v1/instances/announce", leaving)
    listed = call(platform.address, "/v1/instances/list").body["instances"]
    assert listed == [record(), leaving]


@pytest.mark.parametrize("fault", ["down", "drop"])
def test_a_lost_swap_may_have_won(platform, fault):
    faults = {"down": True} if fault == "down" else {"drop_answers": 1}
    call(platform.fault_address, "/v1/faults", faults)
    with pytest.raises(ConnectionFailed):
        swap(platform, 0)
    call(platform.fault_address, "/v1/faults", {"down": False})
    found = call(platform.address, "/v1/get", {"key": "k"}).body
    assert found["revision"] == (1 if fault == "drop" else 0)
