"""Decide from whom an instance learns the store's changes, and keep them for others.

Few instances watch the store: in each failure domain the first-ranked one, its relay.
The others ask a relay, which answers with the changes and with the age of its own
knowledge, so that the calls to the store grow with changes and not with instances.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ...platform.store_replies import StoredItem
    from ...types import InstanceId, Seconds

# Changes are kept for relaying up to this number of items and of bytes in all.
MAX_KEPT_ITEMS = 4_000
MAX_KEPT_BYTES = 4_000_000
# A relay whose own knowledge is older than this is passed over: it may be cut off.
MAX_RELAY_AGE_SECONDS = 1.5
# How long a relay that failed or was out of date is passed over.
PASSED_OVER_SECONDS = 3.0
# While no relay is up to date, all instances together call the store this often.
FLEET_CALLS_PER_SECOND = 40.0
MIN_CALL_INTERVAL_SECONDS = 0.5


class RelayCandidate(NamedTuple):
    """Describe an instance that may relay, best first in a sequence of them."""

    instance: InstanceId
    passed_over_until: Seconds


class ChangeHistory:
    """Hold the newest changes of the store in order, and its state after them.

    Changed in place.
    """

    __slots__ = ("complete_after", "items", "size", "state")

    def __init__(self) -> None:
        """Start without changes."""
        self.complete_after = 0
        self.items: deque[StoredItem] = deque()
        self.size = 0
        self.state: dict[str, StoredItem] = {}


def restart_history(
    history: ChangeHistory, revision: int, items: Iterable[StoredItem] = ()
) -> None:
    """Forget all changes; the history is complete after a revision from now on.

    ``items`` are the whole state at that revision.
    """
    history.state = {item.key: item for item in items}
    history.items.clear()
    history.size = 0
    history.complete_after = revision


def record_changes(history: ChangeHistory, items: Iterable[StoredItem]) -> None:
    """Add changes in the order of their revisions, and drop the oldest beyond limits."""
    for item in sorted(items, key=lambda item: item.revision):
        newest = history.items[-1].revision if history.items else history.complete_after
        if item.revision < newest:
            continue
        if item.value is None:
            history.state.pop(item.key, None)
        else:
            history.state[item.key] = item
        history.items.append(item)
        history.size += item_size(item)
    while len(history.items) > MAX_KEPT_ITEMS or history.size > MAX_KEPT_BYTES:
        # One change of several keys has one revision, and is dropped as a whole.
        oldest = history.items[0].revision
        while history.items and history.items[0].revision == oldest:
            history.size -= item_size(history.items.popleft())
        history.complete_after = oldest


def item_size(item: StoredItem) -> int:
    """Return the approximate size of an item in bytes."""
    return len(item.key) + len(item.value or b"")


def changes_after(
    history: ChangeHistory, revision: int
) -> tuple[StoredItem, ...] | None:
    """Return the changes after a revision, or None if some are not kept any more."""
    if revision < history.complete_after:
        return None
    found: list[StoredItem] = []
    for item in reversed(history.items):
        if item.revision <= revision:
            break
        found.append(item)
    return tuple(reversed(found))


def whole_state(history: ChangeHistory) -> tuple[StoredItem, ...]:
    """Return every present item in the order of their revisions."""
    return tuple(sorted(history.state.values(), key=lambda item: item.revision))


def choose_relay(
    own_instance: InstanceId,
    candidates: Sequence[RelayCandidate],
    *,
    now: Seconds,
    next_own_call_at: Seconds,
) -> InstanceId | None:
    """Return whom to ask for changes, or None to call the store.

    ``candidates`` starts with the relay of the own failure domain. Without an up-to-date
    relay the store may be away; the first candidate is asked between calls.
    """
    if not candidates or candidates[0].instance == own_instance:
        return None
    for candidate in candidates:
        if candidate.instance != own_instance and candidate.passed_over_until <= now:
            return candidate.instance
    return None if now >= next_own_call_at else candidates[0].instance


def own_call_interval(instances: int) -> Seconds:
    """Return the mean time between an instance's calls while no relay is up to date."""
    return max(MIN_CALL_INTERVAL_SECONDS, instances / FLEET_CALLS_PER_SECOND)
