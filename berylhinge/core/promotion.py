"""Promote a new primary of a group: the state machine of one promoter.

The vote follows Raft (Ongaro and Ousterhout 2014, sections 5.2 and 5.4.1) with an
instance as the candidate: a fence request asks a member for its vote, and the promoter
promotes the member with the most advanced log among a majority of granted votes.
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..types import LOG_START, LogPoint
from .promotion_messages import (
    Announce,
    AskStatus,
    FenceAnswered,
    FenceMembers,
    PrimaryLeaving,
    PrimaryLost,
    PrimarySeen,
    PromoteAnswered,
    PromoteMember,
    QuiesceMember,
    StatusSeen,
    Tick,
)
from .state_charts import advance_state, load_state_chart

if TYPE_CHECKING:
    from random import Random

    from ..types import GroupId, Seconds, Term, UpstreamId
    from .promotion_messages import Effect, Event

CHART = load_state_chart("promotion")
STAGGER_SECONDS = 0.1
ATTEMPT_SECONDS = 0.15
RESEND_SECONDS = 0.03
GRANT_LINGER_SECONDS = 0.03
CONFIRM_SECONDS = 1.0
RETRY_JITTER_SECONDS = 0.1
LOSS_FRESH_SECONDS = 0.25
QUIESCE_SECONDS = 0.06
HANDOVER_RETRY_SECONDS = 1.0


class Grant(NamedTuple):
    """Record a vote that a member granted, and its last log position at that time."""

    upstream: UpstreamId
    last: LogPoint
    leaving: bool


class Promotion(NamedTuple):
    """Carry the state of one promoter for one group.

    ``promoter`` must differ after every start of the instance; ``cause`` says why
    the promotion runs or for which condition it waits.
    """

    group: GroupId
    promoter: str
    members: tuple[UpstreamId, ...]
    rank: int
    stage: str = "idle"
    cause: str = ""
    seen_term: Term = 0
    lost_term: Term = 0
    lost_at: Seconds = 0.0
    awaited_term: Term = 0
    term: Term = 0
    due_at: Seconds = 0.0
    sent_at: Seconds = 0.0
    linger_until: Seconds | None = None
    grants: tuple[Grant, ...] = ()
    answered: frozenset[UpstreamId] = frozenset()
    target: UpstreamId | None = None
    leaver: UpstreamId | None = None
    suspects: frozenset[UpstreamId] = frozenset()
    quiesced_at: LogPoint | None = None
    caught_up: LogPoint = LOG_START

    @property
    def quorum(self) -> int:
        """Return the size of a majority."""
        return len(self.members) // 2 + 1


Step: TypeAlias = tuple[Promotion, tuple["Effect", ...]]


def step(state: Promotion, event: Event, now: Seconds, rng: Random) -> Step:
    """Return the state after an event and the effects to perform."""
    return _handle_event(event, state, now, rng)


@singledispatch
def _handle_event(event: object, state: Promotion, now: Seconds, rng: Random) -> Step:
    raise TypeError(f"got {type(event).__name__}, expected an event of this module")


@_handle_event.register(PrimaryLost)
def _(event: PrimaryLost, state: Promotion, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.term)
    if event.suspect is not None:
        state = state._replace(suspects=state.suspects | {event.suspect})
    if state.stage == "confirming" and event.term < state.term:
        return state, ()
    state = state._replace(lost_at=now)
    if not _handles(state, "primary-lost"):
        return state, ()
    state = _transition(state, "primary-lost")._replace(
        cause=event.cause, lost_term=event.term, leaver=None
    )
    return _schedule_turn(state, now + STAGGER_SECONDS * state.rank), ()


@_handle_event.register(PrimaryLeaving)
def _(event: PrimaryLeaving, state: Promotion, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.term)
    if not _handles(state, "primary-leaving"):
        return state, ()
    state = _transition(state, "primary-leaving")._replace(
        cause=f"{event.upstream} is leaving",
        lost_term=event.term,
        leaver=event.upstream,
    )
    return _schedule_turn(state, now + STAGGER_SECONDS * state.rank), ()


@_handle_event.register(PrimarySeen)
def _(event: PrimarySeen, state: Promotion, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.term)
    owns_term = state.stage in ("fencing", "promoting", "confirming")
    if event.term < (state.term if owns_term else state.lost_term):
        return state, ()
    return _reset(_transition(state, "primary-seen"))._replace(suspects=frozenset()), ()


@_handle_event.register(StatusSeen)
def _(event: StatusSeen, state: Promotion, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.status["term"])
    if state.stage != "quiescing" or event.status["log_term"] != state.lost_term:
        return state, ()
    return _record_catch_up(state, event, now)


@_handle_event.register(FenceAnswered)
def _(event: FenceAnswered, state: Promotion, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.status["term"])
    if state.stage != "fencing" or event.term != state.term:
        return state, ()
    state = state._replace(answered=state.answered | {event.upstream})
    if event.granted and event.upstream not in {vote.upstream for vote in state.grants}:
        last = LogPoint(*event.status["last"])
        vote = Grant(event.upstream, last, event.status["leaving"])
        state = state._replace(grants=(*state.grants, vote))
    return _count_votes(state, now, rng)


@_handle_event.register(PromoteAnswered)
def _(event: PromoteAnswered, state: Promotion, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.status["term"])
    if state.stage != "promoting" or event.term != state.term:
        return state, ()
    if not event.promoted:
        return _fail(state, now, rng, f"{event.upstream} refused to lead")
    state = _transition(state, "promoted")._replace(due_at=now + CONFIRM_SECONDS)
    return state, (Announce(event.upstream, event.term),)


@_handle_event.register(Tick)
def _(event: Tick, state: Promotion, now: Seconds, rng: Random) -> Step:
    if state.stage in ("waiting", "blocked"):
        state = _check_majority(state, event.answering, now)
    if state.stage == "idle" or state.stage == "blocked":
        return state, ()
    if now >= state.due_at:
        return _on_deadline(state, now, rng)
    if state.linger_until is not None and now >= state.linger_until:
        return _count_votes(state, now, rng)
    return _resend(state, now)


def _on_deadline(state: Promotion, now: Seconds, rng: Random) -> Step:
    if state.stage in ("waiting", "handover-waiting"):
        return _start_turn(state, now)
    if state.stage == "confirming":
        return _reset(_transition(state, "attempt-failed")), ()
    if state.stage == "fencing":
        cause = f"{len(state.grants)} of {len(state.members)} members granted the term"
        return _fail(state, now, rng, f"{cause}; {state.quorum} are needed")
    if state.stage == "quiescing":
        return _fail(state, now, rng, "no replica caught up with the leaving primary")
    return _fail(state, now, rng, f"{state.target} did not answer the promotion")


def _start_turn(state: Promotion, now: Seconds) -> Step:
    if state.stage == "waiting" and now - state.lost_at > LOSS_FRESH_SECONDS:
        return _reset(_transition(state, "loss-withdrawn")), ()
    if state.seen_term > state.awaited_term:
        return _schedule_turn(state, now + STAGGER_SECONDS * (state.rank + 1)), ()
    if state.stage == "waiting":
        return _begin_fencing(_transition(state, "turn-came"), now)
    state = _transition(state, "turn-came")._replace(
        due_at=now + QUIESCE_SECONDS, sent_at=now, quiesced_at=None, caught_up=LOG_START
    )
    leaving_primary = str(state.leaver)
    quiesce = QuiesceMember(leaving_primary, state.lost_term, QUIESCE_SECONDS)
    return state, (quiesce, AskStatus(state.members))


def _begin_fencing(state: Promotion, now: Seconds) -> Step:
    term = max(state.seen_term, state.term) + 1
    state = state._replace(
        term=term,
        seen_term=term,
        due_at=now + ATTEMPT_SECONDS,
        sent_at=now,
        linger_until=None,
        grants=(),
        answered=frozenset(),
        target=None,
    )
    return state, (FenceMembers(state.members, term),)


def _count_votes(state: Promotion, now: Seconds, rng: Random) -> Step:
    unanswered_count = len(state.members) - len(state.answered)
    if len(state.grants) + unanswered_count < state.quorum:
        return _fail(state, now, rng, f"term {state.term} was refused by a majority")
    if len(state.grants) < state.quorum:
        return state, ()
    if unanswered_count and len(_wanted(state)) < state.quorum:
        linger_until = state.linger_until
        if linger_until is None:
            return state._replace(linger_until=now + GRANT_LINGER_SECONDS), ()
        if now < linger_until:
            return state, ()
    return _begin_promoting(state, now)


def choose_log(state: Promotion) -> Grant:
    """Return the granted vote of the member to promote.

    Any majority of granted votes holds every acknowledged write. So while the other
    members are a majority, those that are leaving or suspected are passed over, even
    if their logs are longer.
    """
    preferred = _wanted(state)
    votes = preferred if len(preferred) >= state.quorum else state.grants
    order = {name: index for index, name in enumerate(state.members)}
    return max(
        votes,
        key=lambda vote: (
            vote.last,
            not vote.leaving,
            vote.upstream not in state.suspects,
            -order[vote.upstream],
        ),
    )


def _wanted(state: Promotion) -> tuple[Grant, ...]:
    return tuple(
        vote
        for vote in state.grants
        if not vote.leaving and vote.upstream not in state.suspects
    )


def _begin_promoting(state: Promotion, now: Seconds) -> Step:
    target = choose_log(state).upstream
    state = _transition(state, "majority-granted")._replace(
        target=target, due_at=now + ATTEMPT_SECONDS, sent_at=now, linger_until=None
    )
    return state, (PromoteMember(target, state.term),)


def _record_catch_up(state: Promotion, event: StatusSeen, now: Seconds) -> Step:
    status = event.status
    last = LogPoint(*status["last"])
    if event.upstream == state.leaver:
        if status["quiesced"]:
            state = state._replace(quiesced_at=last)
    elif not status["leaving"]:
        state = state._replace(caught_up=max(last, state.caught_up))
    if state.quiesced_at is None or state.caught_up < state.quiesced_at:
        return state, ()
    return _begin_fencing(_transition(state, "replica-caught-up"), now)


def _check_majority(state: Promotion, answering: int, now: Seconds) -> Promotion:
    enough = answering >= state.quorum
    if state.stage == "waiting" and not enough:
        cause = f"{answering} of {len(state.members)} members answer"
        cause = f"{cause}; a promotion needs {state.quorum}"
        return _transition(state, "majority-lost")._replace(cause=cause)
    if state.stage == "blocked" and enough:
        state = _transition(state, "majority-back")
        return _schedule_turn(state, now + STAGGER_SECONDS * state.rank)
    return state


def _resend(state: Promotion, now: Seconds) -> Step:
    if now - state.sent_at < RESEND_SECONDS:
        return state, ()
    resent = state._replace(sent_at=now)
    if state.stage == "fencing":
        missing = tuple(name for name in state.members if name not in state.answered)
        return resent, (FenceMembers(missing, state.term),)
    if state.stage == "promoting":
        return resent, (PromoteMember(str(state.target), state.term),)
    if state.stage == "quiescing":
        return resent, (AskStatus(state.members),)
    return state, ()


def _fail(state: Promotion, now: Seconds, rng: Random, cause: str) -> Step:
    state = _transition(state, "attempt-failed")._replace(
        cause=cause, linger_until=None
    )
    if state.stage == "handover-waiting":
        return _schedule_turn(state, now + HANDOVER_RETRY_SECONDS), ()
    state = state._replace(lost_at=now)
    jitter = rng.uniform(0.0, RETRY_JITTER_SECONDS)
    return _schedule_turn(state, now + STAGGER_SECONDS * state.rank + jitter), ()


def _schedule_turn(state: Promotion, due_at: Seconds) -> Promotion:
    return state._replace(due_at=due_at, awaited_term=state.seen_term)


def _reset(state: Promotion) -> Promotion:
    return Promotion(
        state.group,
        state.promoter,
        state.members,
        state.rank,
        seen_term=state.seen_term,
        term=state.term,
        suspects=state.suspects,
    )


def _observe_term(state: Promotion, term: Term) -> Promotion:
    return state._replace(seen_term=term) if term > state.seen_term else state


def _handles(state: Promotion, event: str) -> bool:
    return (state.stage, event) in CHART.transitions


def _transition(state: Promotion, event: str) -> Promotion:
    return state._replace(stage=advance_state(CHART, state.stage, event).unwrap())
