"""Measure the processor time of one decision about the slots of a database."""

from __future__ import annotations

from random import Random
from time import process_time
from typing import TYPE_CHECKING

import click

from berylhinge.core.pooler import fair_slots, slot_admission
from berylhinge.core.pooler.fair_slots import FairSlots
from berylhinge.core.pooler.slot_claims import SlotClaim, SlotRefusal
from berylhinge.types import AccessMode

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylhinge.core.pooler.slot_classes import WaitingStatement

ORGANISATIONS = (8, 80, 800)
PRIORITIES = 3
# Statements of each organisation that wait, in turn in each class.
WAITING_EACH = 3
ROUNDS = 5_000
REPEATS = 5
SLOTS = 6


def claim_of(number: int, organisations: int, *, timeout: float = 1e6) -> SlotClaim:
    """Return the claim of a statement of one of the organisations."""
    return SlotClaim(
        f"o{number % organisations}",
        number // organisations % PRIORITIES,
        AccessMode.WRITE if number % 5 == 0 else AccessMode.READ,
        False,
        False,
        1e6,
        timeout,
    )


def full_queue(organisations: int) -> FairSlots:
    """Return a queue in which every organisation has statements of each class."""
    queue = FairSlots(SLOTS)
    for number in range(organisations * WAITING_EACH):
        slot_admission.enqueue(queue, claim_of(number, organisations), 0.0)
    while fair_slots.start_next(queue, 0.0) is not None:
        pass
    return queue


def measure(action: Callable[[int], object]) -> float:
    """Return the median of several means, in microseconds."""
    runs = []
    for _ in range(REPEATS):
        begun = process_time()
        for number in range(ROUNDS):
            action(number)
        runs.append((process_time() - begun) / ROUNDS * 1e6)
    return sorted(runs)[REPEATS // 2]


@click.command()
def main() -> None:
    """Print the time of each decision by the number of organisations that wait."""
    rng = Random(1)
    for organisations in ORGANISATIONS:
        queue = full_queue(organisations)

        def queue_and_cancel(
            number: int, queue: FairSlots = queue, organisations: int = organisations
        ) -> None:
            claim = claim_of(rng.randrange(1 << 20), organisations)
            found = slot_admission.enqueue(queue, claim, number * 1e-6)
            assert not isinstance(found, SlotRefusal)
            fair_slots.remove_statement(queue, found)

        def refuse(
            number: int, queue: FairSlots = queue, organisations: int = organisations
        ) -> None:
            claim = claim_of(rng.randrange(1 << 20), organisations, timeout=0.0)
            found = slot_admission.enqueue(queue, claim, number * 1e-6)
            assert isinstance(found, SlotRefusal)

        def serve(
            number: int, queue: FairSlots = queue, organisations: int = organisations
        ) -> None:
            ended = next(iter(queue.running_statements))
            claim = queue.running_statements[ended].claim
            fair_slots.finish_running(queue, ended, rng.uniform(0.005, 0.02))
            started: WaitingStatement | None = fair_slots.start_next(queue, 1.0)
            assert started is not None
            fair_slots.add_statement(queue, claim, 0, 1.0)

        click.echo(
            f"organisations {organisations}: "
            f"queue and cancel {measure(queue_and_cancel):.1f} us, "
            f"refuse {measure(refuse):.1f} us, "
            f"finish, start and add {measure(serve):.1f} us"
        )


if __name__ == "__main__":
    main()
