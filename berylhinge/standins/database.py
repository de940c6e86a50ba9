"""Run one database stand-in: its listeners, its replication and its faults."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING, TypedDict

import gevent

from ..tasks.http_server import Address
from .connections import ConnectionRegistry, data_handler, Recorder
from .control import ControlService, FaultPort
from .faults import FaultState
from .member import Member
from .replication import start_senders
from .serving import json_app, Listener
from .statements import Costs, StatementService

if TYPE_CHECKING:
    from ..wire.upstream import GroupMember
    from .faults import FaultsRequest

LOOPBACK = Address("127.0.0.1", 0)


class DatabaseSettings(NamedTuple):
    """Set one database; port 0 picks a free port."""

    upstream: str
    place: str = ""
    data: Address = LOOPBACK
    control: Address = LOOPBACK
    faults: Address = LOOPBACK
    slots: int = 2
    connections: int = 16
    costs: Costs = Costs()
    lag_seconds: float = 0.0


class DatabaseAddresses(TypedDict):
    """Name a database and its listeners."""

    upstream: str
    place: str
    data: str
    control: str
    faults: str


class Database:
    """Own the listeners, the member and the senders of one database."""

    def __init__(self, settings: DatabaseSettings) -> None:
        """Listen at once, as a replica of term 0."""
        self.settings = settings
        self.upstream = settings.upstream
        self.faults = FaultState(lag_seconds=settings.lag_seconds)
        self.member = Member(self.upstream, faults=self.faults, slots=settings.slots)
        self.service = StatementService(self.member, settings.costs)
        self.recorder = Recorder()
        self.registry = ConnectionRegistry(
            settings.connections, on_close=self.service.close
        )
        self.member.registry = self.registry
        self.member.on_lead = self.start_senders
        self.senders: list[gevent.Greenlet] = []
        self.open_listeners()

    def open_listeners(self) -> None:
        """Open the three listeners."""
        service = self.service
        self.data_listener = Listener(
            self.settings.data,
            json_app(service.endpoints(), self.faults, refuse=service.refuse),
            handler_class=data_handler(self.registry, self.recorder),
        )
        control = ControlService(self.member).endpoints()
        self.control_listener = Listener(
            self.settings.control, json_app(control, self.faults)
        )
        port = FaultPort(self.member, service, self.recorder, self.update_faults)
        self.fault_listener = Listener(
            self.settings.faults, json_app(port.endpoints(), None)
        )

    @property
    def data(self) -> Address:
        """Return the data listener's address."""
        return self.data_listener.address

    @property
    def control(self) -> Address:
        """Return the control listener's address."""
        return self.control_listener.address

    @property
    def fault_address(self) -> Address:
        """Return the fault listener's address."""
        return self.fault_listener.address

    def addresses(self) -> DatabaseAddresses:
        """Return the name and the listeners."""
        return DatabaseAddresses(
            upstream=self.upstream,
            place=self.settings.place,
            data=str(self.data),
            control=str(self.control),
            faults=str(self.fault_address),
        )

    def start_senders(self, term: int, members: list[GroupMember]) -> None:
        """Send to the other members in place of an older term's senders."""
        gevent.killall(self.senders, block=False)
        self.senders = start_senders(self.member, term, members)

    def update_faults(self, request: FaultsRequest) -> None:
        """Change faults, going down or coming up where asked."""
        was_down = self.faults.down
        self.faults.update(request)
        if self.faults.down and not was_down:
            self.go_down()
        elif was_down and not self.faults.down:
            self.come_up()
        self.member.wake()

    def go_down(self) -> None:
        """Crash: drop every connection, keep the log."""
        gevent.killall(self.senders, block=False)
        self.senders = []
        self.data_listener.close()
        self.control_listener.close()
        self.member.restart()

    def come_up(self) -> None:
        """Listen again after a crash."""
        self.data_listener.open()
        self.control_listener.open()

    def stop(self) -> None:
        """End for good."""
        self.go_down()
        self.fault_listener.close()

    kill = stop


def start_database(upstream: str, **options: Any) -> Database:
    """Start a database; the options are those of DatabaseSettings."""
    return Database(DatabaseSettings(upstream, **options))
