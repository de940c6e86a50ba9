"""Break one rule at a time, so that the explorer can be seen to catch it."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from berylhinge.core import (
    group_view,
    promotion,
    read_floors,
    read_routing,
    write_outcomes,
)
from berylhinge.core.read_routing import ReturnAnswer
from berylhinge.standins import replica_log
from berylhinge.types import DatabaseRole, LOG_START, LogPoint

from . import group_databases, group_world

if TYPE_CHECKING:
    pass


class Patch(NamedTuple):
    """Replace one function of a module or table."""

    owner: object
    name: str
    double: object


def grant_without_fence(state, request):
    """Vote once in a term, but go on accepting older terms."""
    voted = int((state.voted_for or "0@0").split("@")[1]) if state.term else 0
    granted = request.term > max(state.term, voted)
    if granted:
        state = state._replace(voted_for=f"{request.promoter}@{request.term}")
    return state, replica_log.FenceReply(granted, replica_log.status(state))


def promote_without_fence(state, request):
    """Lead a term that was voted for but not yet promised."""
    voted = state.voted_for == f"{request.promoter}@{request.term}"
    if not voted or request.term <= state.term:
        return state, replica_log.PromoteReply(False, replica_log.status(state))
    state = replica_log.lead(state._replace(term=request.term))
    return state, replica_log.PromoteReply(True, replica_log.status(state))


def promote_without_vote(state, request):
    """Lead whenever a promoter that trusts its lease says so."""
    if request.term < state.term or state.role is DatabaseRole.PRIMARY:
        return state, replica_log.PromoteReply(False, replica_log.status(state))
    state = replica_log.lead(state._replace(term=request.term))
    return state, replica_log.PromoteReply(True, replica_log.status(state))


def lead_without_votes(state, now):
    """Promote at once, on the word of a lease that may have lapsed."""
    state, _ = BEGIN_FENCING(state, now)
    target = state.members[state.term % len(state.members)]
    state = state._replace(stage="promoting", target=target)
    return state, (promotion.PromoteMember(target, state.term),)


def confirm_at_one(view, term):
    """Acknowledge what a single member has."""
    points = view.points_by_term.get(term)
    if points:
        view.confirmed[term] = max(points.values())


def confirm_older_terms(view, term):
    """Confirm an older term's entry before the own term's."""
    points = view.points_by_term.get(term)
    if points and len(points) >= view.quorum:
        point = sorted(points.values(), reverse=True)[view.quorum - 1]
        view.confirmed[term] = max(point, view.confirmed.get(term, LOG_START))


def acknowledge_by_any_term(view, term, point):
    """Count every report of a greater position, whatever its term."""
    count = sum(reading.last >= point for reading in view.observations.values())
    return count >= view.quorum


def vote_from_stale_reading(databases, message):
    """Answer a fence with the log as it was at the last status request."""
    request = message.body
    name = message.upstream
    done = databases.vote(name, request)
    old = vars(databases).setdefault("stale_lasts", {}).get(name, LOG_START)
    status = {**databases.status(name), "last": old}
    databases.reply(message, (request, done.granted, status))


def remember_status(databases, message):
    """Report a status and keep it for later votes."""
    name = message.upstream
    lasts = vars(databases).setdefault("stale_lasts", {})
    lasts[name] = databases.states[name].log.last
    group_databases.Databases.on_status(databases, message)


def choose_by_position(state):
    """Compare logs by their length alone."""
    return max(state.granted_votes, key=lambda vote: vote.last.position)


def choose_below_majority(state):
    """Leave suspects out even where too few others voted."""
    votes = promotion._preferred_votes(state) or state.granted_votes
    return max(votes, key=lambda vote: vote.last)


def choose_first(state):
    """Take any log of the majority."""
    return state.granted_votes[0]


def promote_below_majority(state, now, rng):
    """Take one grant for enough."""
    if not state.granted_votes:
        return state, ()
    return promotion._begin_promoting(state, now)


def retarget(state, now, rng, cause):
    """Promote the next candidate in the same term."""
    others = [name for name in state.members if name != state.target]
    if state.stage != "promoting":
        return FAIL(state, now, rng, cause)
    state = state._replace(target=others[0], due_at=now + 0.15)
    return state, (promotion.PromoteMember(others[0], state.term),)


def show_unconfirmed(view, floor, answer):
    """Return whatever the database showed."""
    return ReturnAnswer(LogPoint(*answer["last"]))


def ignore_floor(view, floor, answer):
    """Return confirmed data below the floor."""
    return JUDGE(view, LOG_START, answer)


def floor_of_one(view, since):
    """Take the first answer for the floor."""
    lasts = [one.last for one in view.observations.values() if one.asked_at >= since]
    return lasts[0] if lasts else None


def floor_of_least(view, since):
    """Take the least answer of a majority for the floor."""
    lasts = [one.last for one in view.observations.values() if one.asked_at >= since]
    return min(lasts) if len(lasts) >= view.quorum else None


def floor_of_any_time(view, since):
    """Take answers to questions asked before the request."""
    return FLOOR(view, 0.0)


def decide_by_any_log(view, term, answer):
    """Believe a log that has not reached its own term's first entry."""
    return answer["status"]["log_term"] > term


def decide_by_unconfirmed_log(view, term, answer):
    """Believe a newer term that is not on a majority."""
    status = answer["status"]
    return status["log_term"] > term and status["last"][0] == status["log_term"]


def give_up_too_early(view, written):
    """Call a write not run as soon as its primary is superseded."""
    outcome = OUTCOME(view, written)
    pending = outcome is write_outcomes.WriteOutcome.PENDING
    if pending and group_view.is_superseded(view, written.term):
        return write_outcomes.WriteOutcome.NOT_RUN
    return outcome


def restart_under_the_same_name(world, own):
    """Come back from a restart under the same promoter name."""
    RESTART(world, own)
    fresh = world.instances[own.number]
    promoter = own.promotion.promoter
    fresh.promotion = fresh.promotion._replace(promoter=promoter)


BEGIN_FENCING = promotion._begin_fencing
FAIL = promotion._fail_attempt
JUDGE = read_routing.check_read_answer
FLOOR = read_floors.floor_since
OUTCOME = write_outcomes.decide_by_view
RESTART = group_world.World.restart_instance

DOUBLES: dict[str, tuple[Patch, ...]] = {
    "drop the fence": (
        Patch(replica_log, "fence", grant_without_fence),
        Patch(replica_log, "promote", promote_without_fence),
    ),
    "trust a lease": (
        Patch(replica_log, "promote", promote_without_vote),
        Patch(promotion, "_begin_fencing", lead_without_votes),
    ),
    "acknowledge at one member": (
        Patch(group_view, "_advance_confirmed", confirm_at_one),
    ),
    "confirm entries of older terms": (
        Patch(group_view, "_advance_confirmed", confirm_older_terms),
    ),
    "count reports of a newer term": (
        Patch(write_outcomes, "is_acknowledged", acknowledge_by_any_term),
    ),
    "vote from a stale reading": (
        Patch(group_databases.HANDLERS, "fence", vote_from_stale_reading),
        Patch(group_databases.HANDLERS, "status", remember_status),
    ),
    "choose by position alone": (
        Patch(promotion, "choose_target_vote", choose_by_position),
    ),
    "leave suspects out below a majority": (
        Patch(promotion, "choose_target_vote", choose_below_majority),
    ),
    "choose the first log": (Patch(promotion, "choose_target_vote", choose_first),),
    "promote below a majority": (
        Patch(promotion, "_count_votes", promote_below_majority),
    ),
    "promote twice in a term": (Patch(promotion, "_fail_attempt", retarget),),
    "keep the promoter's name": (
        Patch(group_world.World, "restart_instance", restart_under_the_same_name),
    ),
    "show unconfirmed data": (
        Patch(group_world, "check_read_answer", show_unconfirmed),
    ),
    "ignore the floor": (Patch(group_world, "check_read_answer", ignore_floor),),
    "take the floor of one member": (Patch(read_floors, "floor_since", floor_of_one),),
    "take the least floor": (Patch(read_floors, "floor_since", floor_of_least),),
    "take an old floor": (Patch(read_floors, "floor_since", floor_of_any_time),),
    "decide by a log that lags": (
        Patch(write_outcomes, "_is_decisive", decide_by_any_log),
    ),
    "decide by an unconfirmed log": (
        Patch(write_outcomes, "_is_decisive", decide_by_unconfirmed_log),
    ),
    "give up too early": (Patch(write_outcomes, "decide_by_view", give_up_too_early),),
}
