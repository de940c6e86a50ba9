"""Select the type of a log line by its message type."""

from __future__ import annotations

from . import (
    duty_log_lines as duty_lines,
    load_log_lines as load_lines,
    log_lines as lines,
)

LINE_TYPES: dict[str, type] = {
    "log: Lines were dropped.": lines.LogLinesDropped,
    "pooler: The instance starts.": lines.InstanceStarting,
    "pooler: The instance serves.": lines.InstanceServing,
    "pooler: The instance is leaving.": lines.InstanceLogLine,
    "pooler: The instance stopped.": lines.InstanceStopped,
    "pooler: Settings may have changed.": lines.InstanceLogLine,
    "callers: A request was refused.": lines.RequestRefused,
    "callers: A request failed.": lines.RequestFailed,
    "callers: The process ends before a request.": lines.RequestCut,
    "callers: A request was served.": lines.RequestEnded,
    "callers: A caller left inside a transaction.": lines.CallerDisconnected,
    "router: A statement did not run and is tried elsewhere.": lines.StatementRetried,
    "router: A database was set aside for reads, or returned.": load_lines.DatabaseSetAside,
    "registry: Declarations were not understood.": lines.DeclarationsRejected,
    "registry: Declarations are in force.": lines.DeclarationsInForce,
    "registry: An entry names no database.": lines.RegistryEntryRejected,
    "registry: A database announced itself.": lines.DatabaseAnnounced,
    "registry: A database is cold.": load_lines.DatabaseCold,
    "registry: A database is gone.": lines.DatabaseLogLine,
    "registry: A registration is malformed.": lines.RegistrationRejected,
    "registry: An instance registered.": lines.InstanceRegistered,
    "registry: An instance is gone.": lines.PeerLogLine,
    "registry: The store is lost.": lines.StoreCallFailed,
    "registry: The store is back.": lines.StoreLogLine,
    "registry: The store's history is lost.": lines.StoreLogLine,
    "registry: The store was read.": lines.StoreRead,
    "registry: Changes were known already.": lines.ChangesKnown,
    "registry: The store was restored from a copy.": lines.StoreRestored,
    "registry: The watch is stuck; starting it anew.": lines.WatchStalled,
    "registry: Registered again.": lines.InstanceReregistered,
    "rates: A rate owner's bucket starts anew.": lines.BucketStarted,
    "rates: Buckets are handed to the next rate owner.": lines.BucketsHandedOver,
    "rates: A bucket came from the former rate owner.": lines.BucketReceived,
    "rates: The former rate owner handed no bucket over.": lines.BucketNotReceived,
    "holder: A database does not answer.": lines.DatabaseUnresponsive,
    "holder: A database answers again.": lines.DatabaseLogLine,
    "holder: A database leads.": lines.DatabaseLeads,
    "holder: A statement got no slot.": load_lines.SlotRefused,
    "holder: A statement cannot be sent as one line.": lines.UnsendableStatement,
    "holder: A rollback had no answer; closed.": lines.RollbackUnanswered,
    "peers: A peer is silent.": lines.PeerUnresponsive,
    "peers: A peer answers again.": lines.PeerLogLine,
    "peers: The holders are reached.": lines.HoldersReached,
    "registry: A recorded leader was not understood.": lines.RecordedLeaderMalformed,
    "registry: Calls to the platform so far.": lines.PlatformCallCounts,
    "relay: The store is followed.": lines.StoreFollowed,
    "relay: Relayed changes were malformed.": lines.MalformedChanges,
    "duty: A primary was looked at.": lines.PrimaryProbed,
    "duty: A leader is being replaced.": lines.LeaderReplacing,
    "duty: No replica can lead.": duty_lines.NoPromotableReplica,
    "duty: Only former leaders are reached.": duty_lines.FormerLeadersReached,
    "duty: The primary is known again.": duty_lines.PrimaryReturned,
    "duty: The duty was not taken.": duty_lines.DutyClaimFailed,
    "duty: Another instance has the duty.": duty_lines.ServiceLogLine,
    "duty: A lost record of a leader was written again.": duty_lines.LeaderRecordedAgain,
    "duty: The record of a leader was replaced.": duty_lines.LeaderRecordReplaced,
    "duty: Acknowledged commits may be missing.": duty_lines.LogsMissing,
    "duty: A promotion was asked for.": duty_lines.PromotionRequested,
    "registry: An evacuation was not understood.": load_lines.EvacuationRejected,
    "evacuation: An evacuation reached a stage.": load_lines.EvacuationProceeding,
    "evacuation: An evacuation names an unknown failure domain.": (
        load_lines.FailureDomainLogLine
    ),
}


def find_line_type(message_type: str) -> type | None:
    """Return the type of the lines with a message type, None if it is unknown."""
    if message_type.endswith(f": {lines.UNEXPECTED_ERROR_TEXT}"):
        return lines.UnexpectedError
    return LINE_TYPES.get(message_type)
