"""Keep runs that failed once as files."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import msgspec

from .schedule import Fault

if TYPE_CHECKING:
    from pathlib import Path


class Case(NamedTuple):
    """Keep a run that failed once, with a line on its cause.

    ``agreed_terms`` switch features of the poolers on. So many ``synchronous_replicas``
    receive a commit before it is acknowledged.
    """

    seed: int
    seconds: float
    instances: int
    cause: str
    faults: tuple[Fault, ...]
    agreed_terms: tuple[str, ...] = ()
    synchronous_replicas: int = 0


def read_case(path: Path) -> Case:
    """Return a kept case."""
    document = msgspec.json.decode(path.read_bytes())
    faults = tuple(Fault(**fault) for fault in document.pop("faults"))
    terms = tuple(document.pop("agreed_terms", ()))
    return Case(faults=faults, agreed_terms=terms, **document)


def write_case(case: Case, path: Path) -> None:
    """Keep a case, its cause to be filled in by whoever traces it."""
    document = case._asdict() | {"faults": [fault._asdict() for fault in case.faults]}
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1))
