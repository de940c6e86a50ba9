"""Rank nodes for a key by highest random weight (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from bisect import insort
from heapq import nlargest
from math import log
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

HASH_RANGE = float(1 << 64)


def score_node(node: str, key: str, *, seed: int = 0, weight: float = 1.0) -> float:
    """Return the node's score for the key; the greatest score ranks first."""
    digest = xxh3_64_intdigest(f"{key}\x00{node}".encode(), seed=seed)
    return -weight / log((digest + 0.5) / HASH_RANGE)


def rank_nodes(
    nodes: Iterable[str],
    key: str,
    *,
    seed: int = 0,
    weights: Mapping[str, float] | None = None,
) -> list[str]:
    """Return all nodes, highest score first; ties are ordered by name."""
    scored = _scored(nodes, key, seed, weights)
    return [node for _, node in sorted(scored, reverse=True)]


def top_nodes(
    nodes: Iterable[str],
    key: str,
    count: int,
    *,
    seed: int = 0,
    weights: Mapping[str, float] | None = None,
) -> list[str]:
    """Return the first ``count`` nodes of the ranking."""
    return [node for _, node in nlargest(count, _scored(nodes, key, seed, weights))]


class RankingCache:
    """Cache the ranking for each key, and update it as nodes are added and removed."""

    def __init__(self) -> None:
        """Start without nodes."""
        self.nodes: set[str] = set()
        self.weights: dict[str, float] | None = None
        self.rankings: dict[str, list[tuple[float, str]]] = {}

    def set_nodes(
        self, nodes: Iterable[str], weights: Mapping[str, float] | None = None
    ) -> None:
        """Replace the nodes; only the added and removed ones change the rankings.

        A change of a known node's weight computes them anew.
        """
        current = set(nodes)
        if self.has_other_scores(current & self.nodes, weights):
            self.rankings.clear()
        self.weights = None if weights is None else dict(weights)
        added, removed = current - self.nodes, self.nodes - current
        self.nodes = current
        for key, order in self.rankings.items():
            if removed:
                order[:] = [entry for entry in order if entry[1] not in removed]
            for score, node in _scored(added, key, 0, self.weights):
                insort(order, (-score, node))

    def has_other_scores(
        self, nodes: Iterable[str], weights: Mapping[str, float] | None
    ) -> bool:
        """Return whether nodes have other scores with the given weights."""
        if self.weights is None or weights is None:
            return self.weights is not weights
        known = self.weights
        return any(known.get(node, 1.0) != weights.get(node, 1.0) for node in nodes)

    def iterate_ranking(self, key: str) -> Iterator[str]:
        """Return all nodes as ``rank_nodes`` does, except for the order of ties."""
        order = self.rankings.get(key)
        if order is None:
            scored = _scored(self.nodes, key, 0, self.weights)
            order = self.rankings[key] = sorted(
                (-score, node) for score, node in scored
            )
        return (node for _, node in order)


def _scored(
    nodes: Iterable[str], key: str, seed: int, weights: Mapping[str, float] | None
) -> Iterable[tuple[float, str]]:
    """Pair each node with its score; a node with a weight of 0 is left out."""
    if weights is None:
        prefix = f"{key}\x00"
        # Without weights, the digest itself gives the same order at less cost.
        return [
            (xxh3_64_intdigest((prefix + node).encode(), seed=seed) / HASH_RANGE, node)
            for node in nodes
        ]
    return [
        (score_node(node, key, seed=seed, weight=weights.get(node, 1.0)), node)
        for node in nodes
        if weights.get(node, 1.0) > 0.0
    ]
