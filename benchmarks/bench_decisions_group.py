"""Measure microseconds per decision about a group, by members."""

from __future__ import annotations

import timeit
from random import Random
from typing import TYPE_CHECKING

from berylhinge.core import (
    failure_detection,
    failure_evidence,
    group_view,
    promotion,
    read_floors,
)
from berylhinge.core.promotion_messages import PrimaryLost, Tick
from berylhinge.core.read_routing import (
    check_read_answer,
    FloorSource,
    route_read,
    UpstreamLoad,
)
from berylhinge.core.retries import decide_retry, FULL_BUDGET
from berylhinge.core.session_tokens import (
    decode_session_token,
    encode_session_token,
    SessionToken,
)
from berylhinge.types import LogPoint, StatementOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylhinge.wire.upstream import UpstreamAnswer, UpstreamStatus

REPEATS = 5
CALLS = 20_000
MICROSECONDS = 1e6


def status(name: str, *, lead: bool, position: int) -> UpstreamStatus:
    return {
        "upstream": name,
        "role": "primary" if lead else "replica",
        "term": 1,
        "log_term": 1,
        "last": (1, position),
        "primary_silence_seconds": 0.0,
        "primary": "m0",
        "leaving": False,
        "quiesced": False,
        "connections": 0,
        "connection_limit": 16,
        "slots": 2,
    }


def known_group(size: int) -> group_view.GroupView:
    names = tuple(f"m{number}" for number in range(size))
    view = group_view.new_view("rota-0", names)
    for name in names:
        told = status(name, lead=name == "m0", position=9)
        group_view.observe_status(view, name, told, 1.0, 1.0)
    return view


def measure(name: str, call: Callable[[], object]) -> None:
    best = min(timeit.repeat(call, repeat=REPEATS, number=CALLS)) / CALLS
    print(f"{name} {best * MICROSECONDS:.2f} us")


def measure_tokens() -> None:
    token = SessionToken("rota-0", 3, 123_456)
    text = encode_session_token(token)
    measure("session_encode", lambda: encode_session_token(token))
    measure("session_decode", lambda: decode_session_token(text, group="rota-0"))
    measure("session_refuse", lambda: decode_session_token(text[1:], group="rota-0"))


def measure_group(size: int) -> None:
    view = known_group(size)
    rng = Random(1)
    state = failure_evidence.new_failure_evidence()
    loads = dict.fromkeys(view.members, UpstreamLoad("oslo-a", 1, 4, True))
    same = status("m1", lead=False, position=9)
    answer: UpstreamAnswer = {
        "request_id": "r",
        "columns": [],
        "rows": [],
        "row_count": 0,
        "term": 1,
        "log_term": 1,
        "last": (1, 9),
    }
    floor = LogPoint(1, 9)
    position = iter(range(10, 10**9))

    def observe_growth() -> object:
        at = next(position)
        told = status("m1", lead=False, position=at)
        return group_view.observe_status(view, "m1", told, 2.0, 2.0)

    def choose() -> object:
        return route_read(
            view,
            loads,
            floor=floor,
            floor_source=FloorSource.TOKEN,
            failure_domain="oslo-a",
            arrived_at=1.0,
            now=1.0,
            rng=rng,
        )

    def round_trip() -> object:
        step = read_floors.request_floor(read_floors.NO_ROUNDS, 0.9, 0.9)
        return read_floors.advance_rounds(step.rounds, view, 1.0)

    measure(f"choose_read_{size}", choose)
    measure(f"judge_read_{size}", lambda: check_read_answer(view, floor, answer))
    measure(f"floor_round_{size}", round_trip)
    measure(
        f"observe_same_{size}",
        lambda: group_view.observe_status(view, "m1", same, 2.0, 2.0),
    )
    measure(f"observe_growth_{size}", observe_growth)
    measure(
        f"judge_detection_{size}",
        lambda: failure_detection.assess_primary(state, view, frozenset(), 1.1),
    )
    idle = promotion.PromotionState("g", "i#1", view.members, 0)
    measure(
        f"promotion_tick_idle_{size}", lambda: promotion.step(idle, Tick(3), 1, rng)
    )
    lost = PrimaryLost(1, "silent", "m0")
    measure(f"promotion_lost_{size}", lambda: promotion.step(idle, lost, 1, rng))


def measure_retry() -> None:
    rng = Random(1)
    measure(
        "decide_retry",
        lambda: decide_retry(
            FULL_BUDGET,
            outcome=StatementOutcome.NOT_RUN,
            idempotent=False,
            deadline=9.0,
            expected_seconds=0.01,
            previous_delay_seconds=0.01,
            now=1.0,
            rng=rng,
        ),
    )


def main() -> None:
    measure_tokens()
    for size in (3, 5, 7):
        measure_group(size)
    measure_retry()


if __name__ == "__main__":
    main()
