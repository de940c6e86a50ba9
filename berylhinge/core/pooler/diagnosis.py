"""Explain a failed request from log lines: the decision and the evidence for it."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...types import Seconds

    Entry = Mapping[str, Any]

# Within this time a silent primary is detected, checked and replaced by a promotion.
EVIDENCE_WINDOW_SECONDS = 5.0
FINAL_MESSAGE_TYPES = (
    "callers: A request failed.",
    "callers: A request was refused.",
    "callers: A request was served.",
)
DECLARATIONS_MESSAGE_TYPE = "registry: Declarations are in force."


class Cause(NamedTuple):
    """Explain a reason; ``evidence`` names the types of log lines that bear on it."""

    text: str
    evidence: tuple[str, ...]


class Explanation(NamedTuple):
    """Hold a request's log lines, the cause of its outcome and the evidence for it."""

    lines: tuple[Entry, ...]
    cause: str
    evidence: tuple[Entry, ...]


STORE_MESSAGE_TYPES = (
    "registry: The store is lost.",
    "registry: The watch is stuck; starting it anew.",
    "registry: The store is back.",
)
DATABASE_MESSAGE_TYPES = (
    "holder: A database does not answer.",
    "holder: A database answers again.",
    "registry: A database announced itself.",
    "registry: A database is gone.",
    "duty: A primary was looked at.",
    "duty: A leader is being replaced.",
    "holder: A database leads.",
    "duty: No replica can lead.",
    "duty: Only former leaders are reached.",
    "duty: The primary is known again.",
    "duty: A promotion was asked for.",
)
STOP_MESSAGE_TYPES = (
    "pooler: The instance is leaving.",
    "pooler: The instance stopped.",
)
PEER_MESSAGE_TYPES = (
    "peers: A peer is silent.",
    "peers: A peer answers again.",
    "registry: An instance is gone.",
    "pooler: The instance is leaving.",
    "pooler: The instance starts.",
)
LAGGING_TEXT = "No replica had the position that the read must see."
NOT_LEADING_TEXT = (
    "A database that does not lead was asked; another one has taken over."
)
NO_ANSWER_TEXT = "The database broke off or stayed silent after it was asked."
CAUSES = {
    "rate": Cause("The organisation is over its rate.", (DECLARATIONS_MESSAGE_TYPE,)),
    "not-allowed": Cause(
        "The declarations did not allow it, or could not be confirmed in time.",
        (DECLARATIONS_MESSAGE_TYPE, *STORE_MESSAGE_TYPES),
    ),
    "start": Cause(
        "The session was refused: the name, the key, or unconfirmed declarations.",
        (DECLARATIONS_MESSAGE_TYPE, *STORE_MESSAGE_TYPES),
    ),
    "queue-full": Cause(
        "More work was waiting at the database than the request's time allows.", ()
    ),
    "no-slot": Cause("No slot of the database came free in time.", ()),
    "over-share": Cause(
        "The organisation had more work waiting at the database than its share.", ()
    ),
    "primary-busy": Cause(
        "The primary had no room for a read beside what only it can run.", ()
    ),
    "no-room": Cause(
        "The database could not have ended the statement before its deadline.", ()
    ),
    "transactions-full": Cause(
        "Idle transactions held too many of the database's connections.", ()
    ),
    "no-connection": Cause("No connection to the database came free in time.", ()),
    "no-database": Cause(
        "No primary is known for the service.", DATABASE_MESSAGE_TYPES
    ),
    "unreachable": Cause(
        "The database does not answer its holder.", DATABASE_MESSAGE_TYPES
    ),
    "given-up": Cause(
        "The holder does not reach the database.", DATABASE_MESSAGE_TYPES
    ),
    "cold": Cause(
        "The database is slow after its start and gets few requests.",
        ("registry: A database is cold.",),
    ),
    "evacuated": Cause(
        "The failure domain of what could have run it is evacuated.",
        ("evacuation: An evacuation reached a stage.",),
    ),
    "no-home": Cause(
        "What could have run it lies outside the home regions of its route or "
        "organisation.",
        DATABASE_MESSAGE_TYPES,
    ),
    "lead-lost": Cause(NOT_LEADING_TEXT, DATABASE_MESSAGE_TYPES),
    "lead-pending": Cause(
        "The database that takes over did not lead in time.", DATABASE_MESSAGE_TYPES
    ),
    "lead-unconfirmed": Cause(
        "The holder could not confirm in time that no other database leads.",
        (*STORE_MESSAGE_TYPES, *DATABASE_MESSAGE_TYPES),
    ),
    "answer-lost": Cause(NO_ANSWER_TEXT, DATABASE_MESSAGE_TYPES),
    "connection-lost": Cause(NO_ANSWER_TEXT, DATABASE_MESSAGE_TYPES),
    "peer-lost": Cause(
        "The instance that held the database was lost.", PEER_MESSAGE_TYPES
    ),
    "late": Cause(
        "The statement reached the database's holder too late to be run.",
        PEER_MESSAGE_TYPES,
    ),
    "not-holding": Cause(
        "The instance that was asked does not know the database.", PEER_MESSAGE_TYPES
    ),
    "stopping": Cause(
        "The instance was stopping, and the answer was not due before its end.",
        STOP_MESSAGE_TYPES,
    ),
    "transaction-lost": Cause(
        "The open transaction's connection was closed: idle for too long, or lost.",
        (*DATABASE_MESSAGE_TYPES, *PEER_MESSAGE_TYPES),
    ),
    "answer-lagging": Cause(LAGGING_TEXT, DATABASE_MESSAGE_TYPES),
    "begin-lagging": Cause(LAGGING_TEXT, DATABASE_MESSAGE_TYPES),
    "answer-read-only": Cause(NOT_LEADING_TEXT, DATABASE_MESSAGE_TYPES),
    "begin-read-only": Cause(NOT_LEADING_TEXT, DATABASE_MESSAGE_TYPES),
}
DATABASE_ERROR_CAUSE = Cause(
    "The database itself answered with this error.", DATABASE_MESSAGE_TYPES
)


def explain(entries: Iterable[Entry], request_id: str) -> Explanation | None:
    """Explain a request's outcome; return None when no log line names the request."""
    known = sorted(entries, key=timestamp_of)
    lines = [entry for entry in known if entry.get("request_id") == request_id]
    if not lines:
        return None
    final = next((line for line in reversed(lines) if is_final(line)), None)
    if final is None:
        text = "No instance logged the end: it was lost, or its log lines were dropped."
        found_evidence = evidence_for(known, lines, lines[-1], PEER_MESSAGE_TYPES)
        return Explanation(tuple(lines), text, found_evidence)
    if "reason" not in final:
        return Explanation(tuple(lines), "The request was served.", ())
    cause = CAUSES.get(str(final["reason"]), DATABASE_ERROR_CAUSE)
    found_evidence = evidence_for(known, lines, final, cause.evidence)
    return Explanation(tuple(lines), cause.text, found_evidence)


def is_final(line: Entry) -> bool:
    """Tell whether a log line reports the end of a request."""
    return line.get("message_type") in FINAL_MESSAGE_TYPES


def timestamp_of(entry: Entry) -> Seconds:
    """Return the time at which a line was written, 0 if it has none."""
    found = entry.get("timestamp")
    return float(found) if isinstance(found, int | float) else 0.0


def evidence_for(
    known: list[Entry], lines: list[Entry], final: Entry, message_types: tuple[str, ...]
) -> tuple[Entry, ...]:
    """Return the lines of the given types that bear on a request's failure."""
    instances = {line.get("instance") for line in lines}
    start, end = timestamp_of(lines[0]) - EVIDENCE_WINDOW_SECONDS, timestamp_of(final)
    found = []
    for entry in known:
        if entry.get("message_type") not in message_types:
            continue
        if entry.get("message_type") == DECLARATIONS_MESSAGE_TYPE:
            same_version = entry.get("version") == final.get("version")
            is_evidence = same_version and entry.get("instance") in instances
        else:
            is_evidence = start <= timestamp_of(entry) <= end + EVIDENCE_WINDOW_SECONDS
            is_evidence = is_evidence and (
                names_same_subject(entry, lines) or entry in lines
            )
        if is_evidence:
            found.append(entry)
    return tuple(found)


def names_same_subject(entry: Entry, lines: list[Entry]) -> bool:
    """Tell whether a line and the request's lines share a database or an instance."""
    subjects = {entry.get("database"), entry.get("replaced"), entry.get("peer")}
    subjects.discard(None)
    if not subjects:
        return "service" in entry or entry.get("instance") in subjects_of(lines)
    return bool(subjects & subjects_of(lines))


def subjects_of(lines: list[Entry]) -> set[object]:
    """Return the instances and databases that a request's lines name."""
    fields = ("instance", "holder", "database")
    return {line[field] for line in lines for field in fields if line.get(field)}
