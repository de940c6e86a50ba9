from __future__ import annotations

import gevent

from ....standins.metadata_store import wait_until
from .conftest import DECLARATIONS, Fleet


def test_a_withdrawn_key_stays_withdrawn_though_the_pages_of_a_read_differ_in_age(
    fleet: Fleet,
) -> None:
    # An instance that started from such a read accepted the key for good.
    fleet.store.hold_stale()
    fleet.store.stale_before = "op/config"
    tenants = [{**DECLARATIONS["tenants"][0], "api-keys": ["k3"]}]
    fleet.declare({**DECLARATIONS, "version": 4, "tenants": tenants})
    fleet.announce()
    started = fleet.add_instance()
    assert fleet.caller("strict", "k1", instance=2).started.startswith("ERROR NOAUTH")
    wait_until(lambda: started.view.declarations.version == 4)
    assert fleet.caller("strict", "k3", instance=2).started == "READY I -"


def test_a_first_read_of_several_pages_misses_no_later_change(fleet: Fleet) -> None:
    fleet.store.hold_stale()
    fleet.store.stale_before = "op/config"
    for version in range(4, 8):
        fleet.declare({**DECLARATIONS, "version": version})
        fleet.announce()
    started = fleet.add_instance()
    gevent.sleep(0.1)
    wait_until(lambda: started.view.declarations.version == 7)
