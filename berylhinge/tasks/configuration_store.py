"""Read and change the configuration that the platform stores."""

from __future__ import annotations

import time
from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING

import gevent
from returns.result import Failure, Result, Success

from ..core import configuration_update
from ..core.configuration import (
    Configuration,
    CONFIGURATION_STORE_KEY,
    empty_configuration,
)
from ..core.configuration_parts import (
    assemble_configuration,
    decode_head,
    encode_for_store,
    find_missing_parts,
    part_store_key,
    split_configuration,
)
from ..core.configuration_update import (
    BeginUpdate,
    FinishUpdate,
    ReadStore,
    StoreReadFailed,
    StoreReadSucceeded,
    SwapAnswered,
    SwapFailed,
    SwapStore,
    UpdateOutcome,
    UpdateState,
)
from .platform_client import REMEDIES, StoreError, StoreErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from ..core.configuration import Edit
    from ..core.configuration_update import UpdateEvent
    from ..errors import FieldError
    from ..wire.platform import SwapAnswer
    from .platform_client import PlatformClient

SAVE_PART_ATTEMPTS = 5


class StoredConfiguration(NamedTuple):
    """Describe the stored configuration, its revision and its parts' digests."""

    configuration: Configuration
    revision: int
    part_digests: frozenset[str]


class EditContext(NamedTuple):
    """Carry an edit's client, random source and last read configuration."""

    client: PlatformClient
    rng: Random
    last_read: list[StoredConfiguration]


def load_configuration(
    client: PlatformClient,
) -> Result[StoredConfiguration, StoreError]:
    """Read the stored configuration with all its parts."""
    head_result = client.get(CONFIGURATION_STORE_KEY)
    if isinstance(head_result, Failure):
        return head_result
    stored = head_result.unwrap()
    if stored["value"] is None:
        empty = StoredConfiguration(
            empty_configuration(), stored["revision"], frozenset()
        )
        return Success(empty)
    decoded = decode_head(stored["value"])
    if isinstance(decoded, Failure):
        return malformed_failure(decoded.failure())
    head = decoded.unwrap()
    parts: dict[str, bytes] = {}
    for digest in find_missing_parts(head, parts):
        part = client.get(part_store_key(digest))
        if isinstance(part, Failure):
            return part
        parts[digest] = (part.unwrap()["value"] or "").encode()
    assembled = assemble_configuration(head, parts)
    if isinstance(assembled, Failure):
        return malformed_failure(assembled.failure())
    configuration = assembled.unwrap().configuration
    digests = frozenset(parts)
    return Success(StoredConfiguration(configuration, stored["revision"], digests))


def malformed_failure(errors: Iterable[FieldError]) -> Failure[StoreError]:
    """Build the failure for a stored configuration that can't be decoded."""
    kind = StoreErrorKind.MALFORMED
    detail = "; ".join(str(error) for error in errors)
    return Failure(StoreError(kind, detail, "restore the stored configuration"))


def save_configuration(
    client: PlatformClient, configuration: Configuration, base: StoredConfiguration
) -> Result[SwapAnswer, StoreError]:
    """Store the new parts, then swap the head, then delete unused parts."""
    head, parts = encode_for_store(split_configuration(configuration))
    for digest in parts.keys() - base.part_digests:
        saved = save_part(client, digest, parts[digest])
        if isinstance(saved, Failure):
            return saved
    unused = find_unused_revisions(client, base.part_digests - parts.keys())
    answer = client.swap(
        CONFIGURATION_STORE_KEY,
        head.decode(),
        expected_revision=base.revision,
    )
    if isinstance(answer, Success) and answer.unwrap()["swapped"]:
        for digest, revision in unused.items():
            client.swap(part_store_key(digest), None, expected_revision=revision)
    return answer


def save_part(
    client: PlatformClient, digest: str, part: bytes
) -> Result[None, StoreError]:
    """Store a part, even an unchanged one, so that a concurrent deletion fails."""
    key = part_store_key(digest)
    for _ in range(SAVE_PART_ATTEMPTS):
        result = client.get(key)
        if isinstance(result, Failure):
            return not_applied_failure(result.failure())
        revision = result.unwrap()["revision"]
        answer = client.swap(key, part.decode(), expected_revision=revision)
        if isinstance(answer, Success) and answer.unwrap()["swapped"]:
            return Success(None)
        if isinstance(answer, Failure) and is_permanent_failure(answer.failure()):
            return not_applied_failure(answer.failure())
    detail = (
        f"the part {digest} was not stored: every attempt failed or found it changed"
    )
    kind = StoreErrorKind.NOT_APPLIED
    return Failure(StoreError(kind, detail, REMEDIES[kind]))


def is_permanent_failure(error: StoreError) -> bool:
    """Return whether another attempt at a part at once is useless."""
    return error.kind is not StoreErrorKind.UNKNOWN


def not_applied_failure(error: StoreError) -> Failure[StoreError]:
    """Build the failure for an unchanged head; a part may have been stored."""
    kind = StoreErrorKind.NOT_APPLIED
    return Failure(StoreError(kind, error.detail, REMEDIES[kind]))


def find_unused_revisions(
    client: PlatformClient, digests: Iterable[str]
) -> dict[str, int]:
    """Return the revisions of the parts that the next head does not reference."""
    revisions = {}
    for digest in digests:
        part = client.get(part_store_key(digest))
        if isinstance(part, Success):
            revisions[digest] = part.unwrap()["revision"]
    return revisions


def run_edit(
    client: PlatformClient,
    edit: Edit,
    *,
    change_id: str,
    rng: Random,
    version_in_force: int = 0,
    expected_version: int | None = None,
) -> UpdateOutcome:
    """Apply one edit to the stored configuration, at most once."""
    context = EditContext(client, rng, [])
    state = UpdateState(change_id, edit, version_in_force, expected_version)
    event: UpdateEvent = BeginUpdate()
    while True:
        state, effects = configuration_update.step(event, state, time.monotonic(), rng)
        (effect,) = effects
        if isinstance(effect, FinishUpdate):
            return effect.outcome
        event = perform_effect(effect, context)


@singledispatch
def perform_effect(effect: ReadStore | SwapStore, context: EditContext) -> UpdateEvent:
    """Reject an effect of an unknown type."""
    raise TypeError(f"got {type(effect).__name__}, expected an apply effect")


@perform_effect.register(ReadStore)
def perform_read(effect: ReadStore, context: EditContext) -> UpdateEvent:
    """Read the store after the requested pause."""
    gevent.sleep(effect.after_seconds)
    loaded = load_configuration(context.client)
    if isinstance(loaded, Failure):
        return StoreReadFailed(loaded.failure().detail)
    context.last_read[:] = [loaded.unwrap()]
    return StoreReadSucceeded(
        context.last_read[0].configuration, context.last_read[0].revision
    )


@perform_effect.register(SwapStore)
def perform_swap(effect: SwapStore, context: EditContext) -> UpdateEvent:
    """Store the configuration if the stored one is unchanged."""
    answer = save_configuration(
        context.client, effect.configuration, context.last_read[0]
    )
    if isinstance(answer, Failure):
        error = answer.failure()
        return SwapFailed(error.kind is StoreErrorKind.UNKNOWN, error.detail)
    return SwapAnswered(answer.unwrap()["swapped"])
