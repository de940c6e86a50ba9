"""Authenticate and admit calls, and run them here or on a peer."""

from __future__ import annotations

import time
from functools import singledispatch
from typing import Any, NamedTuple, Protocol, TYPE_CHECKING

from returns.result import Failure

from ..core.api_keys import authenticate_key, extract_key_id
from ..core.route_resolution import resolve_route
from ..errors import make_refusal, RefusedError
from ..reasons import RefusalReason, RetryReason
from ..types import StatementOutcome
from ..wire.peers import ForwardAnswer, ForwardStatement, ForwardTransaction
from .peer_frames import PeerLost
from .peer_links import Links
from .transactions import find_transaction_owner, TransactionTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.declaration_index import DeclarationIndex
    from ..core.requests import CallResult, StatementCall, TransactionCall
    from ..errors import Refusal
    from ..types import GroupId, InstanceId, KeyId, OrganisationId, RouteId
    from .logs import Log
    from .metrics import Metrics
    from .statement_executor import StatementExecutor

FORWARD_GRACE_SECONDS = 0.25
DEFAULT_MAX_AGE_SECONDS = 5.0
NO_ORGANISATION = ""
NO_KEY_ID = ""


class CallerContext(NamedTuple):
    """Describe a request's authenticated organisation and key, its route and group.

    Organisation and key are empty for a request without a key on an open route.
    """

    organisation: OrganisationId
    key_id: KeyId
    route: RouteId
    group: GroupId


class Fleet(Protocol):
    """Describe the methods of the fleet's task that the dispatcher calls."""

    def admit_request(self, organisation: OrganisationId, deadline: float) -> None:
        """Charge one operation to the organisation's rate; raise RefusedError."""

    def forward_targets(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return the instances to forward a group's calls to, best first."""


class Dispatcher:
    """Authenticate and admit calls, and run them here or on a peer."""

    def __init__(
        self,
        instance: InstanceId,
        *,
        fleet: Fleet,
        executors: dict[GroupId, StatementExecutor],
        await_key_proof: Callable[[], bool],
        links: Links,
        transactions: TransactionTable,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Register handlers for peers' calls; refuse callers until configured."""
        self.instance = instance
        self.fleet = fleet
        self.await_key_proof = await_key_proof
        self.links = links
        self.transactions = transactions
        self.metrics = metrics
        self.log = log
        self.index: DeclarationIndex | None = None
        self.executors = executors
        links.register(ForwardAnswer)
        links.register_call(ForwardStatement, self.on_forwarded_statement)
        links.register_call(ForwardTransaction, self.on_forwarded_transaction)

    def identify_caller(
        self, route: RouteId, authorization: str | None
    ) -> CallerContext:
        """Authenticate the request and resolve its route; raise RefusedError."""
        index = self.index
        if index is None:
            detail = "the instance waits for a configuration"
            raise RefusedError(make_refusal(RefusalReason.INSTANCE_NOT_READY, detail))
        organisation = None
        key = NO_KEY_ID
        if not is_open_route(index, route) or authorization:
            organisation = self.prove_organisation(index, authorization)
            key = extract_key_id(authorization) or NO_KEY_ID
        target = resolve_route(index, route, organisation)
        if isinstance(target, Failure):
            raise RefusedError(target.failure())
        resolved = target.unwrap()
        return CallerContext(
            organisation or NO_ORGANISATION,
            key,
            route,
            resolved.group,
        )

    def prove_organisation(
        self, index: DeclarationIndex, authorization: str | None
    ) -> OrganisationId:
        """Return the organisation of a valid, proven key; raise RefusedError."""
        result = authenticate_key(index, authorization)
        if isinstance(result, Failure):
            raise RefusedError(result.failure())
        if not self.await_key_proof():
            detail = "neither the store nor enough peers confirm the keys"
            raise RefusedError(make_refusal(RefusalReason.KEYS_UNPROVEN, detail))
        return result.unwrap()

    def run_statement(self, caller: CallerContext, call: StatementCall) -> CallResult:
        """Admit and run one statement; raise RefusedError."""
        arrived_at = time.monotonic()
        self.charge_organisation(caller, arrived_at + call.timeout_seconds)
        message = ForwardStatement(
            caller.group, caller.organisation, caller.key_id, call
        )
        if caller.group in self.executors:
            return self.run_statement_locally(message, arrived_at)
        return self.forward_call(
            message, arrived_at, self.fleet.forward_targets(caller.group)
        )

    def run_transaction(
        self, caller: CallerContext, call: TransactionCall
    ) -> CallResult:
        """Admit and run one action of a transaction; raise RefusedError."""
        arrived_at = time.monotonic()
        if call.action in ("begin", "statement"):
            self.charge_organisation(caller, arrived_at + call.timeout_seconds)
        message = ForwardTransaction(
            caller.group, caller.organisation, caller.key_id, call
        )
        if call.action != "begin":
            owner = find_transaction_owner(call.transaction)
            if owner != self.instance:
                return self.forward_call(message, arrived_at, (owner,))
            return self.run_transaction_locally(message, arrived_at)
        if caller.group in self.executors:
            return self.run_transaction_locally(message, arrived_at)
        return self.forward_call(
            message, arrived_at, self.fleet.forward_targets(caller.group)
        )

    def charge_organisation(self, caller: CallerContext, deadline: float) -> None:
        """Charge one operation to the organisation, if any; raise RefusedError."""
        if caller.organisation:
            self.fleet.admit_request(caller.organisation, deadline)

    def run_statement_locally(
        self, message: ForwardStatement, arrived_at: float
    ) -> CallResult:
        """Run a statement on a group that this instance serves; raise RefusedError."""
        executor = self.executors[message.group]
        self.check_key_valid(message.key)
        age = route_max_age(self.index, message.call.route)
        served = executor.run_statement(
            message.call, arrived_at, age, organisation=message.organisation
        )
        self.metrics.count("answers_total", message.call.access.value)
        return served

    def run_transaction_locally(
        self, message: ForwardTransaction, arrived_at: float
    ) -> CallResult:
        """Run one action of a transaction on this instance; raise RefusedError."""
        self.check_key_valid(message.key)
        call = message.call
        if call.action == "begin":
            return self.transactions.begin_transaction(
                self.executors[message.group],
                call,
                arrived_at,
                organisation=message.organisation,
                key=message.key,
            )
        served = self.transactions.perform_action(
            call, arrived_at, organisation=message.organisation
        )
        self.metrics.count("answers_total", call.action)
        return served

    def check_key_valid(self, key: KeyId) -> None:
        """Raise RefusedError for a key that was withdrawn after it was presented."""
        if key == NO_KEY_ID or self.index is None:
            return
        known = self.index.keys.get(key)
        if known is None or known.withdrawn:
            detail = "the key was withdrawn"
            raise RefusedError(make_refusal(RefusalReason.WITHDRAWN_KEY, detail))

    def forward_call(
        self,
        message: ForwardStatement | ForwardTransaction,
        arrived_at: float,
        peers: tuple[InstanceId, ...],
    ) -> CallResult:
        """Run a call on a peer; try the next peer only if a second run is harmless."""
        deadline = arrived_at + message.call.timeout_seconds
        idempotent = getattr(message.call, "idempotent", False)
        refusal = make_refusal(
            RefusalReason.INSTANCE_NOT_READY, "no live instance serves the group"
        )
        for peer in peers:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            answer = self.ask_peer(peer, with_timeout(message, remaining), remaining)
            if answer.served is not None:
                return answer.served
            refusal = answer.refusal or refusal
            if not may_try_next_peer(refusal, idempotent):
                break
            self.metrics.count_retry(RetryReason.PEER_REFUSED)
        raise RefusedError(refusal)

    def ask_peer(
        self, peer: InstanceId, message: Any, timeout_seconds: float
    ) -> ForwardAnswer:
        """Call one peer; a call that was sent but not answered has outcome unknown."""
        try:
            wait = timeout_seconds + FORWARD_GRACE_SECONDS
            return self.links.call(peer, message, ForwardAnswer, wait)
        except PeerLost as error:
            outcome = (
                StatementOutcome.UNKNOWN if error.sent else StatementOutcome.NOT_RUN
            )
            refusal = make_refusal(RefusalReason.PEER_LOST, str(error), outcome=outcome)
            return ForwardAnswer(None, refusal)

    def on_forwarded_statement(
        self, sender: InstanceId, message: ForwardStatement
    ) -> ForwardAnswer:
        """Run a statement that a peer forwarded."""
        if message.group not in self.executors:
            return not_serving_answer()
        return answer_peer_call(
            lambda: self.run_statement_locally(message, time.monotonic())
        )

    def on_forwarded_transaction(
        self, sender: InstanceId, message: ForwardTransaction
    ) -> ForwardAnswer:
        """Run an action of a transaction that a peer forwarded."""
        if message.call.action == "begin" and message.group not in self.executors:
            return not_serving_answer()
        return answer_peer_call(
            lambda: self.run_transaction_locally(message, time.monotonic())
        )


@singledispatch
def with_timeout(message: Any, seconds: float) -> Any:
    """Return the message with the remaining seconds as its call's timeout."""
    raise TypeError(f"got {type(message).__name__}, expected a forwarded call")


@with_timeout.register
def _(message: ForwardStatement, seconds: float) -> ForwardStatement:
    return message._replace(call=message.call._replace(timeout_seconds=seconds))


@with_timeout.register
def _(message: ForwardTransaction, seconds: float) -> ForwardTransaction:
    return message._replace(call=message.call._replace(timeout_seconds=seconds))


def route_max_age(index: DeclarationIndex | None, route: RouteId) -> float:
    """Return the maximum age (seconds) of data that a session reads on a route."""
    known = index.routes.get(route) if index is not None else None
    if known is None or known.max_age_seconds is None:
        return DEFAULT_MAX_AGE_SECONDS
    return known.max_age_seconds


def is_open_route(index: DeclarationIndex, route: RouteId) -> bool:
    """Tell whether a route exists and needs no key."""
    known = index.routes.get(route)
    return known is not None and known.open


def may_try_next_peer(refusal: Refusal, idempotent: bool) -> bool:
    """Tell whether another peer may run a call that one refused or did not answer."""
    if refusal.reason in NEXT_PEER_REASONS:
        return refusal.outcome is StatementOutcome.NOT_RUN or idempotent
    return False


NEXT_PEER_REASONS = {
    RefusalReason.PEER_LOST,
    RefusalReason.INSTANCE_LEAVING,
    RefusalReason.INSTANCE_NOT_READY,
}


def not_serving_answer() -> ForwardAnswer:
    """Build the refusal of a peer's call for a group that is not served here."""
    detail = "the instance does not serve the group"
    return ForwardAnswer(None, make_refusal(RefusalReason.INSTANCE_NOT_READY, detail))


def answer_peer_call(run: Any) -> ForwardAnswer:
    """Run a peer's call and return its result or refusal."""
    try:
        return ForwardAnswer(run(), None)
    except RefusedError as error:
        return ForwardAnswer(None, error.refusal)
    except Exception as error:
        refusal = make_refusal(
            RefusalReason.INTERNAL_FAULT,
            type(error).__name__,
            outcome=StatementOutcome.UNKNOWN,
        )
        return ForwardAnswer(None, refusal)
