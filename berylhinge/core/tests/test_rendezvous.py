from __future__ import annotations

import pytest

from ..rendezvous import rank_nodes, top_nodes

NODES = [f"i{number}" for number in range(20)]
KEYS = [f"key{number}" for number in range(4000)]


def test_top_is_the_start_of_the_ranking() -> None:
    for key in KEYS[:50]:
        assert top_nodes(NODES, key, 5) == rank_nodes(NODES, key)[:5]
        assert rank_nodes(reversed(NODES), key) == rank_nodes(NODES, key)


def test_removing_a_node_moves_only_its_keys() -> None:
    for key in KEYS[:200]:
        others = [node for node in rank_nodes(NODES, key) if node != "i3"]
        assert rank_nodes([node for node in NODES if node != "i3"], key) == others


@pytest.mark.parametrize("weight", [0.5, 1.0, 2.0])
def test_weights_set_the_share_of_keys(weight: float) -> None:
    weights = {"i0": weight}
    first = [top_nodes(NODES, key, 1, weights=weights)[0] for key in KEYS]
    expected = len(KEYS) * weight / (19 + weight)
    assert first.count("i0") == pytest.approx(expected, rel=0.25)


def test_a_node_without_weight_is_left_out() -> None:
    assert "i0" not in rank_nodes(NODES, "key", weights={"i0": 0.0})


def test_different_seeds_give_different_rankings() -> None:
    assert rank_nodes(NODES, "key", seed=1) != rank_nodes(NODES, "key", seed=2)
