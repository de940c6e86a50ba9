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
    AnnouncePrimary,
    FenceAnswered,
    FenceMembers,
    PrimaryHealthy,
    PrimaryLeaving,
    PrimaryLost,
    PromoteAnswered,
    PromoteMember,
    QuiesceMember,
    RequestStatus,
    StatusReceived,
    Tick,
)
from .state_charts import advance_state, load_state_chart

if TYPE_CHECKING:
    from random import Random

    from ..types import GroupId, Seconds, Term, UpstreamId
    from .promotion_messages import Effect, Event

CHART = load_state_chart("promotion")
RANK_DELAY_SECONDS = 0.1
ATTEMPT_TIMEOUT_SECONDS = 0.15
RESEND_INTERVAL_SECONDS = 0.03
VOTE_LINGER_SECONDS = 0.03
CONFIRM_TIMEOUT_SECONDS = 1.0
RETRY_JITTER_SECONDS = 0.1
LOSS_REPORT_MAX_AGE_SECONDS = 0.25
QUIESCE_SECONDS = 0.06
HANDOVER_RETRY_SECONDS = 1.0


class GrantedVote(NamedTuple):
    """Record a vote that a member granted, and its last log position at that time."""

    upstream: UpstreamId
    last: LogPoint
    leaving: bool


class PromotionState(NamedTuple):
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
    highest_term: Term = 0
    lost_term: Term = 0
    loss_reported_at: Seconds = 0.0
    scheduled_at_term: Term = 0
    term: Term = 0
    due_at: Seconds = 0.0
    sent_at: Seconds = 0.0
    linger_until: Seconds | None = None
    granted_votes: tuple[GrantedVote, ...] = ()
    answered_members: frozenset[UpstreamId] = frozenset()
    target: UpstreamId | None = None
    leaving_primary: UpstreamId | None = None
    suspects: frozenset[UpstreamId] = frozenset()
    quiesced_point: LogPoint | None = None
    replica_point: LogPoint = LOG_START

    @property
    def quorum(self) -> int:
        """Return the size of a majority."""
        return len(self.members) // 2 + 1


Step: TypeAlias = tuple[PromotionState, tuple["Effect", ...]]


def step(state: PromotionState, event: Event, now: Seconds, rng: Random) -> Step:
    """Return the state after an event and the effects to perform."""
    return _handle_event(event, state, now, rng)


@singledispatch
def _handle_event(
    event: object, state: PromotionState, now: Seconds, rng: Random
) -> Step:
    raise TypeError(f"got {type(event).__name__}, expected an event of this module")


@_handle_event.register(PrimaryLost)
def _(event: PrimaryLost, state: PromotionState, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.term)
    if event.suspect is not None:
        state = state._replace(suspects=state.suspects | {event.suspect})
    if state.stage == "confirming" and event.term < state.term:
        return state, ()
    state = state._replace(loss_reported_at=now)
    if not _handles(state, "primary-lost"):
        return state, ()
    state = _transition(state, "primary-lost")._replace(
        cause=event.cause, lost_term=event.term, leaving_primary=None
    )
    return _schedule_turn(state, now + RANK_DELAY_SECONDS * state.rank), ()


@_handle_event.register(PrimaryLeaving)
def _(event: PrimaryLeaving, state: PromotionState, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.term)
    if not _handles(state, "primary-leaving"):
        return state, ()
    state = _transition(state, "primary-leaving")._replace(
        cause=f"{event.upstream} is leaving",
        lost_term=event.term,
        leaving_primary=event.upstream,
    )
    return _schedule_turn(state, now + RANK_DELAY_SECONDS * state.rank), ()


@_handle_event.register(PrimaryHealthy)
def _(event: PrimaryHealthy, state: PromotionState, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.term)
    owns_term = state.stage in ("fencing", "promoting", "confirming")
    if event.term < (state.term if owns_term else state.lost_term):
        return state, ()
    return _reset(_transition(state, "primary-seen"))._replace(suspects=frozenset()), ()


@_handle_event.register(StatusReceived)
def _(event: StatusReceived, state: PromotionState, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.status["term"])
    if state.stage != "quiescing" or event.status["log_term"] != state.lost_term:
        return state, ()
    return _record_catch_up(state, event, now)


@_handle_event.register(FenceAnswered)
def _(event: FenceAnswered, state: PromotionState, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.status["term"])
    if state.stage != "fencing" or event.term != state.term:
        return state, ()
    state = state._replace(answered_members=state.answered_members | {event.upstream})
    if event.granted and event.upstream not in {
        vote.upstream for vote in state.granted_votes
    }:
        last = LogPoint(*event.status["last"])
        vote = GrantedVote(event.upstream, last, event.status["leaving"])
        state = state._replace(granted_votes=(*state.granted_votes, vote))
    return _count_votes(state, now, rng)


@_handle_event.register(PromoteAnswered)
def _(event: PromoteAnswered, state: PromotionState, now: Seconds, rng: Random) -> Step:
    state = _observe_term(state, event.status["term"])
    if state.stage != "promoting" or event.term != state.term:
        return state, ()
    if not event.promoted:
        return _fail_attempt(state, now, rng, f"{event.upstream} refused to lead")
    state = _transition(state, "promoted")._replace(
        due_at=now + CONFIRM_TIMEOUT_SECONDS
    )
    return state, (AnnouncePrimary(event.upstream, event.term),)


@_handle_event.register(Tick)
def _(event: Tick, state: PromotionState, now: Seconds, rng: Random) -> Step:
    if state.stage in ("waiting", "blocked"):
        state = _check_majority(state, event.answering_members, now)
    if state.stage == "idle" or state.stage == "blocked":
        return state, ()
    if now >= state.due_at:
        return _on_deadline(state, now, rng)
    if state.linger_until is not None and now >= state.linger_until:
        return _count_votes(state, now, rng)
    return _resend(state, now)


def _on_deadline(state: PromotionState, now: Seconds, rng: Random) -> Step:
    if state.stage in ("waiting", "handover-waiting"):
        return _start_turn(state, now)
    if state.stage == "confirming":
        return _reset(_transition(state, "attempt-failed")), ()
    if state.stage == "fencing":
        cause = (
            f"{len(state.granted_votes)} of {len(state.members)} members "
            "granted the term"
        )
        return _fail_attempt(state, now, rng, f"{cause}; {state.quorum} are needed")
    if state.stage == "quiescing":
        return _fail_attempt(
            state, now, rng, "no replica caught up with the leaving primary"
        )
    return _fail_attempt(
        state, now, rng, f"{state.target} did not answer the promotion"
    )


def _start_turn(state: PromotionState, now: Seconds) -> Step:
    if (
        state.stage == "waiting"
        and now - state.loss_reported_at > LOSS_REPORT_MAX_AGE_SECONDS
    ):
        return _reset(_transition(state, "loss-withdrawn")), ()
    if state.highest_term > state.scheduled_at_term:
        return _schedule_turn(state, now + RANK_DELAY_SECONDS * (state.rank + 1)), ()
    if state.stage == "waiting":
        return _begin_fencing(_transition(state, "turn-came"), now)
    state = _transition(state, "turn-came")._replace(
        due_at=now + QUIESCE_SECONDS,
        sent_at=now,
        quiesced_point=None,
        replica_point=LOG_START,
    )
    leaving_primary = str(state.leaving_primary)
    quiesce = QuiesceMember(leaving_primary, state.lost_term, QUIESCE_SECONDS)
    return state, (quiesce, RequestStatus(state.members))


def _begin_fencing(state: PromotionState, now: Seconds) -> Step:
    term = max(state.highest_term, state.term) + 1
    state = state._replace(
        term=term,
        highest_term=term,
        due_at=now + ATTEMPT_TIMEOUT_SECONDS,
        sent_at=now,
        linger_until=None,
        granted_votes=(),
        answered_members=frozenset(),
        target=None,
    )
    return state, (FenceMembers(state.members, term),)


def _count_votes(state: PromotionState, now: Seconds, rng: Random) -> Step:
    unanswered_count = len(state.members) - len(state.answered_members)
    if len(state.granted_votes) + unanswered_count < state.quorum:
        return _fail_attempt(
            state, now, rng, f"term {state.term} was refused by a majority"
        )
    if len(state.granted_votes) < state.quorum:
        return state, ()
    if unanswered_count and len(_preferred_votes(state)) < state.quorum:
        linger_until = state.linger_until
        if linger_until is None:
            return state._replace(linger_until=now + VOTE_LINGER_SECONDS), ()
        if now < linger_until:
            return state, ()
    return _begin_promoting(state, now)


def choose_target_vote(state: PromotionState) -> GrantedVote:
    """Return the granted vote of the member to promote.

    Any majority of granted votes holds every acknowledged write. So while the other
    members are a majority, those that are leaving or suspected are passed over, even
    if their logs are longer.
    """
    preferred = _preferred_votes(state)
    votes = preferred if len(preferred) >= state.quorum else state.granted_votes
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


def _preferred_votes(state: PromotionState) -> tuple[GrantedVote, ...]:
    return tuple(
        vote
        for vote in state.granted_votes
        if not vote.leaving and vote.upstream not in state.suspects
    )


def _begin_promoting(state: PromotionState, now: Seconds) -> Step:
    target = choose_target_vote(state).upstream
    state = _transition(state, "majority-granted")._replace(
        target=target,
        due_at=now + ATTEMPT_TIMEOUT_SECONDS,
        sent_at=now,
        linger_until=None,
    )
    return state, (PromoteMember(target, state.term),)


def _record_catch_up(
    state: PromotionState, event: StatusReceived, now: Seconds
) -> Step:
    status = event.status
    last = LogPoint(*status["last"])
    if event.upstream == state.leaving_primary:
        if status["quiesced"]:
            state = state._replace(quiesced_point=last)
    elif not status["leaving"]:
        state = state._replace(replica_point=max(last, state.replica_point))
    if state.quiesced_point is None or state.replica_point < state.quiesced_point:
        return state, ()
    return _begin_fencing(_transition(state, "replica-caught-up"), now)


def _check_majority(
    state: PromotionState, answering: int, now: Seconds
) -> PromotionState:
    enough = answering >= state.quorum
    if state.stage == "waiting" and not enough:
        cause = f"{answering} of {len(state.members)} members answer"
        cause = f"{cause}; a promotion needs {state.quorum}"
        return _transition(state, "majority-lost")._replace(cause=cause)
    if state.stage == "blocked" and enough:
        state = _transition(state, "majority-back")
        return _schedule_turn(state, now + RANK_DELAY_SECONDS * state.rank)
    return state


def _resend(state: PromotionState, now: Seconds) -> Step:
    if now - state.sent_at < RESEND_INTERVAL_SECONDS:
        return state, ()
    resent = state._replace(sent_at=now)
    if state.stage == "fencing":
        missing = tuple(
            name for name in state.members if name not in state.answered_members
        )
        return resent, (FenceMembers(missing, state.term),)
    if state.stage == "promoting":
        return resent, (PromoteMember(str(state.target), state.term),)
    if state.stage == "quiescing":
        return resent, (RequestStatus(state.members),)
    return state, ()


def _fail_attempt(state: PromotionState, now: Seconds, rng: Random, cause: str) -> Step:
    state = _transition(state, "attempt-failed")._replace(
        cause=cause, linger_until=None
    )
    if state.stage == "handover-waiting":
        return _schedule_turn(state, now + HANDOVER_RETRY_SECONDS), ()
    state = state._replace(loss_reported_at=now)
    jitter = rng.uniform(0.0, RETRY_JITTER_SECONDS)
    return _schedule_turn(state, now + RANK_DELAY_SECONDS * state.rank + jitter), ()


def _schedule_turn(state: PromotionState, due_at: Seconds) -> PromotionState:
    return state._replace(due_at=due_at, scheduled_at_term=state.highest_term)


def _reset(state: PromotionState) -> PromotionState:
    return PromotionState(
        state.group,
        state.promoter,
        state.members,
        state.rank,
        highest_term=state.highest_term,
        term=state.term,
        suspects=state.suspects,
    )


def _observe_term(state: PromotionState, term: Term) -> PromotionState:
    return state._replace(highest_term=term) if term > state.highest_term else state


def _handles(state: PromotionState, event: str) -> bool:
    return (state.stage, event) in CHART.transitions


def _transition(state: PromotionState, event: str) -> PromotionState:
    return state._replace(stage=advance_state(CHART, state.stage, event).unwrap())
