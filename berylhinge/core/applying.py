"""Apply one edit at most once to the stored configuration, by compare-and-swap."""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from returns.result import Failure

from ..errors import FieldError
from .configuration import (
    CHANGES_KEPT,
    Configuration,
    Edit,
    next_configuration,
    ReplaceDeclaration,
    version_of_change,
)
from .declarations import Declaration
from .differences import Difference, differences

if TYPE_CHECKING:
    from random import Random

    from ..types import Seconds

ATTEMPTS_LIMIT = 20
RETRY_MIN_SECONDS = 0.02
RETRY_MAX_SECONDS = 2.0


class Begin(NamedTuple):
    """Request the start of the update."""


class StoreRead(NamedTuple):
    """Carry the stored configuration and its revision in the store."""

    configuration: Configuration
    revision: int


class StoreReadFailed(NamedTuple):
    """Report that reading the stored configuration failed."""

    detail: str


class SwapAnswered(NamedTuple):
    """Carry the store's response to the swap."""

    swapped: bool


class SwapFailed(NamedTuple):
    """Report a swap without a response; if ``unknown``, it may have been stored."""

    unknown: bool
    detail: str


class ReadStore(NamedTuple):
    """Read the stored configuration after a pause."""

    after_seconds: Seconds


class SwapStore(NamedTuple):
    """Store a configuration if the store's revision is still the expected one."""

    configuration: Configuration
    expected_revision: int


class Applied(NamedTuple):
    """Report the stored version that holds the change."""

    version: int
    differences: tuple[Difference, ...]


class Unchanged(NamedTuple):
    """Report that the stored declaration already equals the edited one."""

    version: int


class Conflict(NamedTuple):
    """Report what another operator changed since this update began.

    At an unexpected version without such changes, ``differences`` are those that the
    edit itself would make.
    """

    version: int
    differences: tuple[Difference, ...]


class Refused(NamedTuple):
    """Report why the edit is invalid for the stored configuration."""

    errors: tuple[FieldError, ...]


class Unreachable(NamedTuple):
    """Report that the update got no result from the store.

    If ``unknown``, the swap may have been stored.
    """

    unknown: bool
    detail: str


ApplyOutcome: TypeAlias = Applied | Unchanged | Conflict | Refused | Unreachable


class Finish(NamedTuple):
    """End the update."""

    outcome: ApplyOutcome


class ApplyState(NamedTuple):
    """Hold the state of one update.

    ``base`` is the configuration that the first read returned, ``pending`` that of
    the last swap. ``uncertain`` tells that a swap without a response may have been
    stored. ``attempts`` counts the reads after the first.
    """

    change_id: str
    edit: Edit
    floor_version: int = 0
    expected_version: int | None = None
    base: Configuration | None = None
    pending: Configuration | None = None
    uncertain: bool = False
    attempts: int = 0


ApplyEvent: TypeAlias = Begin | StoreRead | StoreReadFailed | SwapAnswered | SwapFailed
ApplyEffect: TypeAlias = ReadStore | SwapStore | Finish
ApplyStep: TypeAlias = tuple[ApplyState, list[ApplyEffect]]


@singledispatch
def step(event: ApplyEvent, state: ApplyState, now: Seconds, rng: Random) -> ApplyStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected an apply event")


@step.register(Begin)
def on_begin(event: Begin, state: ApplyState, now: Seconds, rng: Random) -> ApplyStep:
    """Read the stored configuration."""
    return state, [ReadStore(0.0)]


@step.register(StoreRead)
def on_store_read(
    event: StoreRead, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Finish if the change is already recorded, otherwise try to store it."""
    current = event.configuration
    stored_version = version_of_change(current, state.change_id)
    if stored_version is not None:
        return finish(state, Applied(stored_version, list_own_differences(state)))
    if may_have_dropped_change(state, current):
        detail = "more changes followed than the configuration records"
        return finish(state, Unreachable(unknown=True, detail=detail))
    state = state._replace(base=state.base or current)
    found = conflict(state, current)
    if found is not None:
        return finish(state, found)
    result = next_configuration(
        current, state.edit, state.change_id, version_in_force=state.floor_version
    )
    if isinstance(result, Failure):
        return finish(state, Refused(result.failure()))
    proposed = result.unwrap()
    if not differences(current.declaration, proposed.declaration):
        return finish(state, Unchanged(current.version))
    state = state._replace(pending=proposed)
    return state, [SwapStore(proposed, event.revision)]


@step.register(StoreReadFailed)
def on_store_read_failed(
    event: StoreReadFailed, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Read again after a pause."""
    return retry_read(state, event.detail, rng)


@step.register(SwapAnswered)
def on_swap_answered(
    event: SwapAnswered, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Finish if the swap was stored; read again if another change came first."""
    if event.swapped and state.pending is not None:
        version = state.pending.version
        return finish(state, Applied(version, list_own_differences(state)))
    return retry_read(state, "other changes were stored first each time", rng)


@step.register(SwapFailed)
def on_swap_failed(
    event: SwapFailed, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Read back whether the swap was stored."""
    uncertain = state.uncertain or event.unknown
    return retry_read(state._replace(uncertain=uncertain), event.detail, rng)


def retry_read(state: ApplyState, detail: str, rng: Random) -> ApplyStep:
    """Read again after a random pause with growing bound, or give up at the limit."""
    if state.attempts >= ATTEMPTS_LIMIT:
        return finish(state, Unreachable(state.uncertain, detail))
    ceiling = min(RETRY_MAX_SECONDS, RETRY_MIN_SECONDS * 2**state.attempts)
    pause = rng.uniform(RETRY_MIN_SECONDS, max(RETRY_MIN_SECONDS, ceiling))
    return state._replace(attempts=state.attempts + 1), [ReadStore(pause)]


def may_have_dropped_change(state: ApplyState, current: Configuration) -> bool:
    """Tell whether an unanswered swap's record may have been dropped as too old."""
    if not state.uncertain or state.pending is None:
        return False
    oldest = current.changes[0]["version"] if current.changes else 0
    full = len(current.changes) >= CHANGES_KEPT
    return full and oldest > state.pending.version


def conflict(state: ApplyState, current: Configuration) -> Conflict | None:
    """Return the changes by others that the edit would overwrite, if any."""
    if not isinstance(state.edit, ReplaceDeclaration) or state.base is None:
        return None
    before = without_keys(state.base.declaration)
    changed = differences(before, without_keys(current.declaration))
    expected = state.expected_version
    if expected is not None and current.version != expected:
        after = without_keys(state.edit.declaration)
        rejected = differences(without_keys(current.declaration), after)
        return Conflict(current.version, changed or rejected)
    return Conflict(current.version, changed) if changed else None


def without_keys(declaration: Declaration) -> Declaration:
    """Return the declaration without its keys, which edits merge."""
    return {**declaration, "keys": []}


def list_own_differences(state: ApplyState) -> tuple[Difference, ...]:
    """Return the fields that this change modifies."""
    if state.base is None or state.pending is None:
        return ()
    return differences(state.base.declaration, state.pending.declaration)


def finish(state: ApplyState, outcome: ApplyOutcome) -> ApplyStep:
    """End the update with an outcome."""
    return state, [Finish(outcome)]
