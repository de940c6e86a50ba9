"""Order the store's revisions across restores from an older copy.

The store counts its changes by a revision, which goes back when the store is restored
from an older copy of itself; the same revisions are then given out again, in a new era. A
qualified revision holds the era and the revision in one number, which never goes back.
"""

from __future__ import annotations

# A power of ten, so that a qualified revision shows both parts in a log line.
REVISIONS_PER_ERA = 10**12
# After a restore operators, databases and instances write again what was lost, within
# about two seconds. Longer than a lease on the use of a primary.
SETTLE_SECONDS = 2.5


def qualify(era: int, revision: int) -> int:
    """Return a qualified revision, greater than every one of an earlier era."""
    return era * REVISIONS_PER_ERA + revision


def era_of(qualified: int) -> int:
    """Return the era of a qualified revision."""
    return qualified // REVISIONS_PER_ERA


def revision_of_writing(qualified: int, era: int) -> int:
    """Return the revision at which a value was written that names its era.

    A restored copy holds values of earlier eras at the revisions of their writing. A
    value that names no era counts as written in the one in which it was read.
    """
    return qualify(era, revision_in_era(qualified)) if era else qualified


def revision_in_era(qualified: int) -> int:
    """Return the revision that the store itself names in the era."""
    return qualified % REVISIONS_PER_ERA


def were_written_after_restore(revision: int, known: int, *, is_newer: bool) -> bool:
    """Tell whether a value was certainly written in the era that delivers it.

    ``known`` is the revision of the last known value, read in an earlier or in the same
    era, and ``is_newer`` tells whether the writer counts this one as the same or a newer
    one. The copy would hold such a value at the same or a greater revision.
    """
    if era_of(known) == era_of(revision):
        return revision > known
    return is_newer and revision_in_era(revision) < revision_in_era(known)
