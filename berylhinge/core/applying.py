"""Apply one edit to the stored configuration by compare-and-swap, at most once."""

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
    """Start the change."""


class StoreRead(NamedTuple):
    """Deliver the stored configuration and its revision."""

    configuration: Configuration
    revision: int


class StoreReadFailed(NamedTuple):
    """Report that the store gave no configuration."""

    detail: str


class SwapAnswered(NamedTuple):
    """Report the store's answer to the swap."""

    swapped: bool


class SwapFailed(NamedTuple):
    """Report a swap without an answer; it may have won if ``unknown``."""

    unknown: bool
    detail: str


class ReadStore(NamedTuple):
    """Read the stored configuration after a pause."""

    after_seconds: Seconds


class SwapStore(NamedTuple):
    """Swap in a configuration if the revision still is the expected one."""

    configuration: Configuration
    expected_revision: int


class Applied(NamedTuple):
    """Report that the change is stored in a version."""

    version: int
    differences: tuple[Difference, ...]


class Unchanged(NamedTuple):
    """Report that the store already declares the same."""

    version: int


class Conflict(NamedTuple):
    """Report what another operator changed since this change began."""

    version: int
    differences: tuple[Difference, ...]


class Refused(NamedTuple):
    """Report why the edit can't follow the stored configuration."""

    errors: tuple[FieldError, ...]


class Unreachable(NamedTuple):
    """Report that the store gave no verdict; ``unknown`` if the swap may have won."""

    unknown: bool
    detail: str


ApplyOutcome: TypeAlias = Applied | Unchanged | Conflict | Refused | Unreachable


class Finish(NamedTuple):
    """End the change."""

    outcome: ApplyOutcome


class ApplyState(NamedTuple):
    """Hold one change under way."""

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
    """Read what is stored."""
    return state, [ReadStore(0.0)]


@step.register(StoreRead)
def on_read(
    event: StoreRead, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Look for this change first, then try to make it."""
    current = event.configuration
    made = version_of_change(current, state.change_id)
    if made is not None:
        return finish(state, Applied(made, own_differences(state)))
    if forgotten(state, current):
        detail = "more changes followed than the configuration remembers"
        return finish(state, Unreachable(unknown=True, detail=detail))
    state = state._replace(base=state.base or current)
    found = conflict(state, current)
    if found is not None:
        return finish(state, found)
    result = next_configuration(
        current, state.edit, state.change_id, floor_version=state.floor_version
    )
    if isinstance(result, Failure):
        return finish(state, Refused(result.failure()))
    following = result.unwrap()
    if not differences(current.declaration, following.declaration):
        return finish(state, Unchanged(current.version))
    state = state._replace(pending=following)
    return state, [SwapStore(following, event.revision)]


@step.register(StoreReadFailed)
def on_read_failed(
    event: StoreReadFailed, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Read again after a pause."""
    return read_again(state, event.detail, rng)


@step.register(SwapAnswered)
def on_answered(
    event: SwapAnswered, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Finish when the swap won; read again when another won."""
    if event.swapped and state.pending is not None:
        version = state.pending.version
        return finish(state, Applied(version, own_differences(state)))
    return read_again(state, "other changes won each time", rng)


@step.register(SwapFailed)
def on_swap_failed(
    event: SwapFailed, state: ApplyState, now: Seconds, rng: Random
) -> ApplyStep:
    """Read back whether the swap won."""
    uncertain = state.uncertain or event.unknown
    return read_again(state._replace(uncertain=uncertain), event.detail, rng)


def read_again(state: ApplyState, detail: str, rng: Random) -> ApplyStep:
    """Read after a growing random pause, or give up after enough attempts."""
    if state.attempts >= ATTEMPTS_LIMIT:
        return finish(state, Unreachable(state.uncertain, detail))
    ceiling = min(RETRY_MAX_SECONDS, RETRY_MIN_SECONDS * 2**state.attempts)
    pause = rng.uniform(RETRY_MIN_SECONDS, max(RETRY_MIN_SECONDS, ceiling))
    return state._replace(attempts=state.attempts + 1), [ReadStore(pause)]


def forgotten(state: ApplyState, current: Configuration) -> bool:
    """Tell whether a swap without an answer may be too old to be remembered."""
    if not state.uncertain or state.pending is None:
        return False
    oldest = current.changes[0]["version"] if current.changes else 0
    full = len(current.changes) >= CHANGES_KEPT
    return full and oldest > state.pending.version


def conflict(state: ApplyState, current: Configuration) -> Conflict | None:
    """Return what others changed, when the edit would overwrite it."""
    if not isinstance(state.edit, ReplaceDeclaration) or state.base is None:
        return None
    before = without_keys(state.base.declaration)
    changed = differences(before, without_keys(current.declaration))
    expected = state.expected_version
    if expected is not None and current.version != expected:
        after = without_keys(state.edit.declaration)
        refused = differences(without_keys(current.declaration), after)
        return Conflict(current.version, changed or refused)
    return Conflict(current.version, changed) if changed else None


def without_keys(declaration: Declaration) -> Declaration:
    """Return the declaration without the keys, which edits merge."""
    return {**declaration, "keys": []}


def own_differences(state: ApplyState) -> tuple[Difference, ...]:
    """Return what this change made different."""
    if state.base is None or state.pending is None:
        return ()
    return differences(state.base.declaration, state.pending.declaration)


def finish(state: ApplyState, outcome: ApplyOutcome) -> ApplyStep:
    """End the change with an outcome."""
    return state, [Finish(outcome)]
