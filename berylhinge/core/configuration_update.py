"""Apply one edit at most once to the stored configuration, by compare-and-swap."""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from returns.result import Failure

from ..errors import FieldError
from .configuration import (
    build_next_configuration,
    Configuration,
    Edit,
    find_change_version,
    RECORDED_CHANGES_LIMIT,
    ReplaceDeclaration,
)
from .declaration_diff import diff_declarations, FieldDifference
from .declarations import Declaration

if TYPE_CHECKING:
    from random import Random

    from ..types import Seconds

READ_RETRIES_LIMIT = 20
RETRY_PAUSE_MIN_SECONDS = 0.02
RETRY_PAUSE_MAX_SECONDS = 2.0


class BeginUpdate(NamedTuple):
    """Request the start of the update."""


class StoreReadSucceeded(NamedTuple):
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
    """Report a swap without a response, and whether it may have been stored."""

    may_be_stored: bool
    detail: str


class ReadStore(NamedTuple):
    """Read the stored configuration after a pause."""

    after_seconds: Seconds


class SwapStore(NamedTuple):
    """Store a configuration if the store's revision is still the expected one."""

    configuration: Configuration
    expected_revision: int


class EditApplied(NamedTuple):
    """Report the stored version that holds the change."""

    version: int
    differences: tuple[FieldDifference, ...]


class DeclarationUnchanged(NamedTuple):
    """Report that the stored declaration already equals the edited one."""

    version: int


class EditConflict(NamedTuple):
    """Report what another operator changed since this update began.

    At an unexpected version without such changes, ``differences`` are those that the
    edit itself would make.
    """

    version: int
    differences: tuple[FieldDifference, ...]


class EditRefused(NamedTuple):
    """Report why the edit is invalid for the stored configuration."""

    errors: tuple[FieldError, ...]


class StoreUnreachable(NamedTuple):
    """Report that the store gave no result, and whether the swap may be stored."""

    may_be_stored: bool
    detail: str


UpdateOutcome: TypeAlias = (
    EditApplied | DeclarationUnchanged | EditConflict | EditRefused | StoreUnreachable
)


class FinishUpdate(NamedTuple):
    """End the update."""

    outcome: UpdateOutcome


class UpdateState(NamedTuple):
    """Hold the state of one update.

    ``first_read`` is the configuration that the first read returned, ``proposed`` that
    of the last swap. ``swap_uncertain`` tells that a swap without a response may have
    been stored. ``attempts`` counts the reads after the first.
    """

    change_id: str
    edit: Edit
    version_in_force: int = 0
    expected_version: int | None = None
    first_read: Configuration | None = None
    proposed: Configuration | None = None
    swap_uncertain: bool = False
    attempts: int = 0


UpdateEvent: TypeAlias = (
    BeginUpdate | StoreReadSucceeded | StoreReadFailed | SwapAnswered | SwapFailed
)
UpdateEffect: TypeAlias = ReadStore | SwapStore | FinishUpdate
UpdateStep: TypeAlias = tuple[UpdateState, list[UpdateEffect]]


@singledispatch
def step(
    event: UpdateEvent, state: UpdateState, now: Seconds, rng: Random
) -> UpdateStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected an update event")


@step.register(BeginUpdate)
def on_begin(
    event: BeginUpdate, state: UpdateState, now: Seconds, rng: Random
) -> UpdateStep:
    """Read the stored configuration."""
    return state, [ReadStore(0.0)]


@step.register(StoreReadSucceeded)
def on_store_read(
    event: StoreReadSucceeded, state: UpdateState, now: Seconds, rng: Random
) -> UpdateStep:
    """Finish if the change is already recorded, otherwise try to store it."""
    current = event.configuration
    stored_version = find_change_version(current, state.change_id)
    if stored_version is not None:
        return finish(state, EditApplied(stored_version, list_own_differences(state)))
    if may_have_dropped_change(state, current):
        detail = "more changes followed than the configuration records"
        return finish(state, StoreUnreachable(may_be_stored=True, detail=detail))
    state = state._replace(first_read=state.first_read or current)
    found = find_conflict(state, current)
    if found is not None:
        return finish(state, found)
    result = build_next_configuration(
        current, state.edit, state.change_id, version_in_force=state.version_in_force
    )
    if isinstance(result, Failure):
        return finish(state, EditRefused(result.failure()))
    proposed = result.unwrap()
    if not diff_declarations(current.declaration, proposed.declaration):
        return finish(state, DeclarationUnchanged(current.version))
    state = state._replace(proposed=proposed)
    return state, [SwapStore(proposed, event.revision)]


@step.register(StoreReadFailed)
def on_store_read_failed(
    event: StoreReadFailed, state: UpdateState, now: Seconds, rng: Random
) -> UpdateStep:
    """Read again after a pause."""
    return retry_read(state, event.detail, rng)


@step.register(SwapAnswered)
def on_swap_answered(
    event: SwapAnswered, state: UpdateState, now: Seconds, rng: Random
) -> UpdateStep:
    """Finish if the swap was stored; read again if another change came first."""
    if event.swapped and state.proposed is not None:
        version = state.proposed.version
        return finish(state, EditApplied(version, list_own_differences(state)))
    return retry_read(state, "other changes were stored first each time", rng)


@step.register(SwapFailed)
def on_swap_failed(
    event: SwapFailed, state: UpdateState, now: Seconds, rng: Random
) -> UpdateStep:
    """Read back whether the swap was stored."""
    uncertain = state.swap_uncertain or event.may_be_stored
    return retry_read(state._replace(swap_uncertain=uncertain), event.detail, rng)


def retry_read(state: UpdateState, detail: str, rng: Random) -> UpdateStep:
    """Read again after a random pause with growing bound, or give up at the limit."""
    if state.attempts >= READ_RETRIES_LIMIT:
        return finish(state, StoreUnreachable(state.swap_uncertain, detail))
    max_pause = min(
        RETRY_PAUSE_MAX_SECONDS, RETRY_PAUSE_MIN_SECONDS * 2**state.attempts
    )
    pause = rng.uniform(
        RETRY_PAUSE_MIN_SECONDS, max(RETRY_PAUSE_MIN_SECONDS, max_pause)
    )
    return state._replace(attempts=state.attempts + 1), [ReadStore(pause)]


def may_have_dropped_change(state: UpdateState, current: Configuration) -> bool:
    """Tell whether an unanswered swap's record may have been dropped as too old."""
    if not state.swap_uncertain or state.proposed is None:
        return False
    oldest = current.changes[0]["version"] if current.changes else 0
    full = len(current.changes) >= RECORDED_CHANGES_LIMIT
    return full and oldest > state.proposed.version


def find_conflict(state: UpdateState, current: Configuration) -> EditConflict | None:
    """Return the changes by others that the edit would overwrite, if any."""
    if not isinstance(state.edit, ReplaceDeclaration) or state.first_read is None:
        return None
    before = without_keys(state.first_read.declaration)
    changed = diff_declarations(before, without_keys(current.declaration))
    expected = state.expected_version
    if expected is not None and current.version != expected:
        after = without_keys(state.edit.declaration)
        rejected = diff_declarations(without_keys(current.declaration), after)
        return EditConflict(current.version, changed or rejected)
    return EditConflict(current.version, changed) if changed else None


def without_keys(declaration: Declaration) -> Declaration:
    """Return the declaration without its keys, which edits merge."""
    return {**declaration, "keys": []}


def list_own_differences(state: UpdateState) -> tuple[FieldDifference, ...]:
    """Return the fields that this change modifies."""
    if state.first_read is None or state.proposed is None:
        return ()
    return diff_declarations(state.first_read.declaration, state.proposed.declaration)


def finish(state: UpdateState, outcome: UpdateOutcome) -> UpdateStep:
    """End the update with an outcome."""
    return state, [FinishUpdate(outcome)]
