"""Load pattern: more organisations than connections at each database of a service."""

from __future__ import annotations

from collections import Counter, OrderedDict
from random import Random

import pytest

from ..catalogue import Quota
from ..read_affinity import arrange_organisations, choose_by_arc

READS = 20_000
DATABASES = 3


def zipf_quotas(count: int) -> dict[str, Quota]:
    return {f"o{place}": Quota(1000.0 / (place + 1), 10.0) for place in range(count)}


@pytest.mark.parametrize("count", [1, 8, 71, 400])
def test_the_arcs_of_all_organisations_fill_the_circle_once(count: int) -> None:
    arcs = arrange_organisations(zipf_quotas(count))
    end = 0.0
    for arc in sorted(arcs.values()):
        assert arc.start == pytest.approx(end)
        end = arc.start + arc.width
    assert end == pytest.approx(1.0)
    shuffled = list(zipf_quotas(count).items())
    Random(1).shuffle(shuffled)
    assert arrange_organisations(dict(shuffled)) == arcs


@pytest.mark.parametrize("quotas", [{}, {"o": Quota(0.0, 5.0)}])
def test_without_rates_nothing_is_arranged(quotas: dict[str, Quota]) -> None:
    assert arrange_organisations(quotas) == {}


def test_a_new_organisation_moves_few_reads_of_others() -> None:
    before = arrange_organisations(zipf_quotas(70))
    after = arrange_organisations({**zipf_quotas(70), "new": Quota(1000.0 / 71, 10.0)})
    moved = [abs(after[name].start - arc.start) for name, arc in before.items()]
    assert max(moved) <= after["new"].width + 1e-9


@pytest.mark.parametrize(
    ("organisations", "connections"), [(74, 25), (85, 52), (71, 43)]
)
@pytest.mark.parametrize("shares", [(1, 1, 1), (2, 5, 5), (1, 0, 3)])
def test_fewer_connections_are_opened_at_the_same_shares_of_the_reads(
    organisations: int, connections: int, shares: tuple[int, ...]
) -> None:
    # A read that found no connection of its organisation opened one in its slot: with
    # reads spread at random, 20 to 30 in a hundred did.
    quotas = zipf_quotas(organisations)
    arcs = arrange_organisations(quotas)
    rng = Random(f"{organisations}-{shares}")
    names = list(quotas)
    rates = [quotas[name].rate for name in names]
    asked = rng.choices(names, rates, k=READS)
    opened = {}
    for way in ("random", "arcs"):
        idle: list[OrderedDict[str, None]] = [OrderedDict() for _ in range(DATABASES)]
        served, opens = Counter[int](), 0
        for name in asked:
            if way == "arcs":
                index = choose_by_arc(shares, arcs[name], rng)
            else:
                index = rng.choices(range(DATABASES), shares)[0]
            served[index] += 1
            opens += name not in idle[index]
            idle[index][name] = None
            idle[index].move_to_end(name)
            if len(idle[index]) > connections:
                idle[index].popitem(last=False)
        opened[way] = opens
        for index, share in enumerate(shares):
            expected = READS * share / sum(shares)
            assert served[index] == pytest.approx(expected, abs=READS * 0.02)
    # With one database out of use the others have connections for half of the circle.
    is_complete = all(shares)
    assert opened["arcs"] < opened["random"] * (0.5 if is_complete else 0.75)


def test_an_organisation_beyond_its_rate_is_spread_as_parts_move() -> None:
    # One organisation sends seven times its usual, all of it to one database at first.
    quotas = zipf_quotas(70)
    arcs, rng = arrange_organisations(quotas), Random("beyond")
    names = list(quotas)
    hot = min(names, key=lambda name: abs(arcs[name].start - 0.4))
    rates = [quotas[name].rate * (7.0 if name == hot else 1.0) for name in names]
    shares = [1.0 / DATABASES] * DATABASES
    for _ in range(60):
        asked = rng.choices(names, rates, k=1_000)
        served = Counter(choose_by_arc(shares, arcs[name], rng) for name in asked)
        # A database with more than its part has a longer queue, and gets less then.
        shares = [
            max(0.02, share - 0.2 * (served[index] / 1_000 - 1.0 / DATABASES))
            for index, share in enumerate(shares)
        ]
    assert max(served.values()) < 1.2 * 1_000 / DATABASES
