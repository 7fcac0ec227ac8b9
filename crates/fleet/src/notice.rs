//! Log lines for notices of the membership library.

use lovagelatch_membership::MemberNotice;
use lovagelatch_telemetry::{DecisionKind, Logger, debug, info, warn};

/// Logs one notice.
pub(crate) fn log_notice(log: &Logger, notice: &MemberNotice) {
    match notice {
        MemberNotice::ConfigApplied { revision, source } => {
            info!(log, "configuration in force";
                "decision" => DecisionKind::ConfigTaken,
                "revision" => revision.0, "source" => ?source);
        }
        MemberNotice::ConfigRefused(error) => {
            warn!(log, "configuration refused";
                "decision" => DecisionKind::ConfigRefused, "reason" => %error);
        }
        MemberNotice::ListRefused(error) => {
            warn!(log, "instance list refused"; "reason" => %error);
        }
        MemberNotice::ListApplied(revision) => {
            debug!(log, "instance list in force"; "list_revision" => revision.0);
        }
        MemberNotice::LeavingChanged { agent, leaving } => {
            info!(log, "instance leaving";
                "decision" => DecisionKind::LeavingSeen,
                "agent" => %agent, "leaving" => leaving);
        }
        MemberNotice::SuspicionChanged { agent, suspected } => {
            info!(log, "suspicion changed";
                "decision" => DecisionKind::SuspicionChanged,
                "agent" => %agent, "suspected" => suspected);
        }
        MemberNotice::ZoneSuspicionChanged { zone, suspected } => {
            warn!(log, "suspicion of a zone changed";
                "decision" => DecisionKind::SuspicionChanged,
                "lost_zone" => zone.as_str(), "suspected" => suspected);
        }
        MemberNotice::Paused(gap) => {
            warn!(log, "process was paused; view is checked again";
                "gap_ms" => u64::try_from(gap.as_millis()).unwrap_or(u64::MAX));
        }
        MemberNotice::Ready => info!(log, "fleet known; process can serve"),
    }
}
