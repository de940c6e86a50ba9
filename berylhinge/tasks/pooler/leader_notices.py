"""Tell other instances of a recorded leader, and wait out leases on the former one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler.leadership import LeadershipRecord, lease_wait
from ...wire.pooling import LeadershipNotice, LeadershipNoticeTaken
from ..clock import now_seconds
from ..peer_frames import PeerLost

if TYPE_CHECKING:
    from ...core.pooler.leadership import RecordedLeader
    from ...types import InstanceId
    from ..logs import Log
    from ..peer_links import Links
    from .fleet_view import FleetView

# An instance that does not confirm a new leader within this time may still use the old
# one until its lease ends.
NOTICE_TIMEOUT_SECONDS = 0.25


class LeaderNotices:
    """Send and answer notices of recorded leaders."""

    def __init__(self, view: FleetView, links: Links, log: Log) -> None:
        """Register the answer to notices."""
        self.view = view
        self.links = links
        self.log = log
        links.register_call(LeadershipNotice, self.answer_leadership_notice)

    def end_other_leases(
        self, service: str, recorded: RecordedLeader, revision: int
    ) -> None:
        """Wait until no instance uses a former leader of a service any more."""
        recorded_at = now_seconds()
        own_commits = gevent.spawn(self.stop_commits, service, revision)
        # Every instance that was registered before the record must be known here.
        while self.view.revision < revision and lease_wait(recorded_at, now_seconds()):
            self.view.changed.wait(NOTICE_TIMEOUT_SECONDS)
        notice = LeadershipNotice(service, recorded, revision)
        peers = self.view.members.keys() - {self.view.own_instance}
        jobs = {name: gevent.spawn(self.send_notice, name, notice) for name in peers}
        gevent.joinall([own_commits, *jobs.values()])
        missing = sorted(name for name, job in jobs.items() if not job.value)
        wait = lease_wait(recorded_at, now_seconds()) if missing else 0.0
        self.log.info(
            "A leader is being replaced.",
            service=service,
            revision=revision,
            unconfirmed=missing,
            notified_seconds=round(now_seconds() - recorded_at, 3),
            wait_seconds=round(wait, 3),
        )
        gevent.sleep(wait)

    def send_notice(self, name: InstanceId, notice: LeadershipNotice) -> bool:
        """Tell one instance of a recorded leader; return whether it confirmed."""
        try:
            answer = self.links.call(
                name,
                notice,
                LeadershipNoticeTaken,
                NOTICE_TIMEOUT_SECONDS,
                may_repeat=True,
            )
        except PeerLost:
            return False
        return answer.revision >= notice.revision

    def answer_leadership_notice(
        self, sender: InstanceId, message: LeadershipNotice
    ) -> LeadershipNoticeTaken:
        """Apply a recorded leader before the store delivers it."""
        revision = message.revision
        record = LeadershipRecord(message.recorded, revision, now_seconds(), revision)
        self.view.record_leader(message.service, record)
        self.stop_commits(message.service, revision)
        return LeadershipNoticeTaken(self.view.leadership[message.service].origin)

    def stop_commits(self, service: str, revision: int) -> None:
        """End the commits that were sent before a record, if promises rest on them."""
        if self.view.declarations.synchronous_replicas(service):
            self.view.commit_stops.await_commits(service, revision)
