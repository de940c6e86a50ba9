"""Check admissions against a rate and burst over all windows."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .records import Allowance


class WindowTree:
    """Keep values under additions to a suffix and find the greatest of a suffix."""

    def __init__(self, values: Sequence[float]) -> None:
        """Build the tree over the initial values."""
        self.size = 1
        while self.size < len(values):
            self.size *= 2
        low = float("-inf")
        self.top = [low] * (2 * self.size)
        self.added = [0.0] * (2 * self.size)
        self.top[self.size : self.size + len(values)] = values
        for node in range(self.size - 1, 0, -1):
            self.top[node] = max(self.top[2 * node], self.top[2 * node + 1])

    def add_from(self, start: int, amount: float) -> None:
        """Add an amount to every value from an index on."""
        node = start + self.size
        self.shift(node, amount)
        while node > 1:
            if node % 2 == 0:
                self.shift(node + 1, amount)
            node //= 2
            below = max(self.top[2 * node], self.top[2 * node + 1])
            self.top[node] = below + self.added[node]

    def shift(self, node: int, amount: float) -> None:
        """Add an amount to a whole subtree."""
        self.top[node] += amount
        self.added[node] += amount

    def greatest_from(self, start: int) -> float:
        """Return the greatest value from an index on."""
        node = start + self.size
        best = self.top[node]
        while node > 1:
            if node % 2 == 0:
                best = max(best, self.top[node + 1])
            node //= 2
            best += self.added[node]
        return best


def excess(
    admissions: Sequence[tuple[float, float, int]], allowance: Allowance
) -> float:
    """Return by how much the worst window exceeds the rate and burst, at least 0.

    An admission is (sent, done, count); it certainly lies in a window
    that holds both moments, so a positive excess is proof of over-admission.
    Windows start at a send and end at a completion: O(n log n) for all pairs.
    """
    if not admissions:
        return 0.0
    ends = sorted({done for _, done, _ in admissions})
    tree = WindowTree([-allowance.rate * end for end in ends])
    worst = 0.0
    for sent, done, count in sorted(admissions, reverse=True):
        tree.add_from(bisect_left(ends, done), count)
        most = tree.greatest_from(bisect_left(ends, sent))
        over = most + allowance.rate * sent - allowance.burst
        worst = max(worst, over)
    return worst
