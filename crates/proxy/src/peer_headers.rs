//! Paths and headers of the messages between nodes.

use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use lifthollow_coordination::mesh::admission_queue::Occupancy;
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason, UnknownReason};
use lifthollow_coordination::mesh::reported_load::ReportedLoad;
use lifthollow_coordination::mesh::view_freshness::ReportedAge;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Priority;
use lifthollow_state::mesh::{Revision, ServerNotice, SnapshotVersion};

use crate::http::headers::remove_all;

/// Prefix of all headers that only nodes may send. Callers' headers with this prefix are removed.
pub const PREFIX: &str = "lifthollow-";
/// Path at which a node serves its snapshot, or the changes that the asking node lacks.
pub const SNAPSHOT_PATH: &str = "/lifthollow/snapshot";
/// Path at which a node serves its reports about requests that may crash servers.
pub const SUSPECTS_PATH: &str = "/lifthollow/suspects";
/// Path at which a node lends tokens of tenants.
pub const QUOTA_PATH: &str = "/lifthollow/quota";
/// Path at which a node answers probes: whether it and the server beside it are available.
pub const PROBE_PATH: &str = "/lifthollow/probe";
/// With an attempt: its [`CallTreePlace`] (admission level of its priority, whether it is nested,
/// whether it is a retry) and its [`AttemptTerms`].
pub const TREE: HeaderName = HeaderName::from_static("lifthollow-tree");
/// With an attempt: how long it may wait in the server's queue before it runs, in milliseconds.
pub const PATIENCE: HeaderName = HeaderName::from_static("lifthollow-patience-ms");
/// The version of the sender's snapshot: the number of its revision, the revision's era, and the
/// version of its configuration.
pub const SNAPSHOT_VERSION: HeaderName = HeaderName::from_static("lifthollow-revision");
/// In answers: how long ago the revision in [`SNAPSHOT_VERSION`] was known to be the source's
/// newest, and how long the request was held before it was answered, both in milliseconds.
pub const VIEW: HeaderName = HeaderName::from_static("lifthollow-view");
/// Digest of the sender's reports about requests that may crash servers; missing if it has none.
pub const SUSPECTS: HeaderName = HeaderName::from_static("lifthollow-suspects");
/// The address at which the sender receives messages from other nodes.
pub const NODE: HeaderName = HeaderName::from_static("lifthollow-node");
/// In a probe: the identifier of the request that the sender waits for. In the answer to a probe:
/// [`IN_PROGRESS`] or [`NOT_IN_PROGRESS`].
pub const WAITING_FOR: HeaderName = HeaderName::from_static("lifthollow-waiting-for");
/// In answers: how the attempt ended.
pub const OUTCOME: HeaderName = HeaderName::from_static("lifthollow-outcome");
/// In answers: the numbers of running, waiting and allowed requests at the server, its admission
/// level, whether that level is for nested calls, and the share of requests that the server fails,
/// in thousandths.
pub const LOAD: HeaderName = HeaderName::from_static("lifthollow-load");

/// In answers: the server's notice about itself, which is its request rate limit (or [`NO_LIMIT`])
/// and whether it is leaving; missing if it has sent neither.
pub const SERVER_NOTICE: HeaderName = HeaderName::from_static("lifthollow-server-notice");
/// With an attempt: the request rate limit that its server announced to the sender; missing if it
/// announced none.
pub const TOLD_LIMIT: HeaderName = HeaderName::from_static("lifthollow-told-limit");

/// The place of an attempt in the call tree of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTreePlace {
    /// The priority of the tree, which decides in which order requests are shed under overload.
    pub priority: Priority,
    /// Whether the attempt is for a call that a server makes while it runs another request.
    pub is_nested: bool,
    /// Whether a server may already have run this call, or the request that the call is made for.
    pub is_retry: bool,
}

/// Value of [`WAITING_FOR`] if the probed node has an attempt of the request in progress.
pub const IN_PROGRESS: &str = "in-progress";
/// Value of [`WAITING_FOR`] if the probed node has no attempt of the request in progress.
pub const NOT_IN_PROGRESS: &str = "not-here";
/// Label of the refusal of a request that crashes the servers that run it.
pub const CRASHES_SERVERS: &str = "crashes-servers";
/// Label of an attempt that the server answered.
pub const ANSWERED: &str = "answered";
/// Factor by which the failure share is multiplied in [`LOAD`].
const THOUSANDTHS: f64 = 1000.0;
const MICROS_IN_MILLISECOND: u128 = 1000;
/// Stands for the limit of a server that names none, in [`SERVER_NOTICE`].
const NO_LIMIT: &str = "-";
const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";

const NOT_RUN_REASONS: [(&str, NotRunReason); 12] = [
    (CRASHES_SERVERS, NotRunReason::CrashesServers),
    ("downstream-overloaded", NotRunReason::DownstreamOverloaded),
    ("node-unreachable", NotRunReason::NodeUnreachable),
    ("node-leaving", NotRunReason::NodeLeaving),
    ("server-draining", NotRunReason::ServerDraining),
    ("wrong-instance", NotRunReason::WrongInstance),
    ("server-unreachable", NotRunReason::ServerUnreachable),
    ("server-failing", NotRunReason::ServerFailing),
    ("rate-limited", NotRunReason::RateLimited),
    ("queue-full", NotRunReason::QueueFull),
    ("queue-timeout", NotRunReason::QueueTimeout),
    ("server-refused", NotRunReason::ServerRefused),
];

const UNKNOWN_REASONS: [(&str, UnknownReason); 4] = [
    ("server-crashed", UnknownReason::ServerCrashed),
    ("answer-lost", UnknownReason::AnswerLost),
    ("answer-invalid", UnknownReason::AnswerInvalid),
    ("silent", UnknownReason::Silent),
];

/// Returns the label of a reason why an attempt was not run, as used in headers, logs and metrics.
pub fn not_run_label(reason: NotRunReason) -> &'static str {
    label_of(&NOT_RUN_REASONS, reason)
}

/// Returns the label of a reason why it is unknown whether an attempt ran, as used in headers, logs
/// and metrics.
pub fn unknown_label(reason: UnknownReason) -> &'static str {
    label_of(&UNKNOWN_REASONS, reason)
}

/// Returns the labels of an attempt's outcome and of the reason for it, as used in logs and metrics;
/// none if the server answered the attempt.
pub fn failure_labels(end: &AttemptEnd) -> Option<(&'static str, &'static str)> {
    match end {
        AttemptEnd::Answered => None,
        AttemptEnd::NotRun { reason, .. } => Some((NOT_RUN, not_run_label(*reason))),
        AttemptEnd::Unknown { reason } => Some((UNKNOWN, unknown_label(*reason))),
    }
}

fn label_of<R: Copy + PartialEq>(words: &[(&'static str, R)], reason: R) -> &'static str {
    let found = words.iter().find(|(_, known)| *known == reason);
    found.map_or("other", |(word, _)| word)
}

fn reason_labelled<R: Copy>(words: &[(&'static str, R)], wanted: &str) -> Option<R> {
    let found = words.iter().find(|(word, _)| *word == wanted);
    found.map(|(_, reason)| *reason)
}

/// Formats the value of [`OUTCOME`].
pub fn outcome_value(end: &AttemptEnd) -> HeaderValue {
    let text = match end {
        AttemptEnd::Answered => return HeaderValue::from_static(ANSWERED),
        AttemptEnd::Unknown { reason } => format!("{UNKNOWN} {}", unknown_label(*reason)),
        AttemptEnd::NotRun {
            offered,
            reason,
            retry_after,
        } => {
            let offered = u8::from(*offered);
            let retry_after = retry_after.unwrap_or_default().as_millis();
            format!(
                "{NOT_RUN} {} {offered} {retry_after}",
                not_run_label(*reason)
            )
        }
    };
    HeaderValue::try_from(text).expect("the labels are plain text")
}

/// Parses [`OUTCOME`]. For a missing or malformed header it is unknown whether the attempt ran.
pub fn outcome(headers: &HeaderMap) -> AttemptEnd {
    let value = headers.get(OUTCOME).and_then(|value| value.to_str().ok());
    value
        .and_then(parse_outcome)
        .unwrap_or(AttemptEnd::Unknown {
            reason: UnknownReason::AnswerInvalid,
        })
}

fn parse_outcome(value: &str) -> Option<AttemptEnd> {
    let mut words = value.split(' ');
    match words.next()? {
        ANSWERED => Some(AttemptEnd::Answered),
        UNKNOWN => {
            let reason = reason_labelled(&UNKNOWN_REASONS, words.next()?)?;
            Some(AttemptEnd::Unknown { reason })
        }
        NOT_RUN => {
            let reason = reason_labelled(&NOT_RUN_REASONS, words.next()?)?;
            let offered = words.next()? != "0";
            let retry_after = Duration::from_millis(words.next()?.parse().ok()?);
            let retry_after = (!retry_after.is_zero()).then_some(retry_after);
            Some(AttemptEnd::NotRun {
                offered,
                reason,
                retry_after,
            })
        }
        _ => None,
    }
}

/// Formats the value of [`LOAD`].
pub fn load_value(load: &ReportedLoad) -> HeaderValue {
    let Occupancy {
        running,
        waiting,
        limit,
    } = load.occupancy;
    let (level, nested) = (load.level.0, u8::from(load.is_nested));
    let failures = (load.failure_share * THOUSANDTHS).round() as u32;
    let text = format!("{running} {waiting} {limit} {level} {nested} {failures}");
    HeaderValue::try_from(text).expect("digits and blanks")
}

/// Parses [`LOAD`]; none if it is missing or malformed.
pub fn load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let value = headers.get(LOAD)?.to_str().ok()?;
    let mut numbers = value.split(' ').map(|number| number.parse::<u32>().ok());
    let mut next = || numbers.next().flatten();
    let occupancy = Occupancy {
        running: next()?,
        waiting: next()?,
        limit: next()?,
    };
    Some(ReportedLoad {
        occupancy,
        level: AdmissionLevel(u16::try_from(next()?).ok()?),
        is_nested: next()? != 0,
        failure_share: f64::from(next()?) / THOUSANDTHS,
    })
}

/// Formats the value of [`SERVER_NOTICE`]; none if the server has sent no notice.
pub fn server_notice_value(notice: ServerNotice) -> Option<HeaderValue> {
    if notice == ServerNotice::default() {
        return None;
    }
    let limit = notice.limit.map(|limit| limit.to_string());
    let limit = limit.as_deref().unwrap_or(NO_LIMIT);
    let is_leaving = u8::from(notice.is_leaving);
    HeaderValue::try_from(format!("{limit} {is_leaving}")).ok()
}

/// Parses [`SERVER_NOTICE`]; none if it is missing or malformed.
pub fn server_notice(headers: &HeaderMap) -> Option<ServerNotice> {
    let value = headers.get(SERVER_NOTICE)?.to_str().ok()?;
    let (limit, is_leaving) = value.split_once(' ')?;
    let limit = match limit {
        NO_LIMIT => None,
        limit => Some(limit.parse().ok()?),
    };
    Some(ServerNotice {
        limit,
        is_leaving: is_leaving != "0",
    })
}

/// Formats the value of [`SNAPSHOT_VERSION`].
pub fn snapshot_version_value(version: SnapshotVersion) -> HeaderValue {
    let Revision { era, number } = version.revision;
    let text = format!("{number} {era} {}", version.configuration);
    HeaderValue::try_from(text).expect("digits and blanks")
}

/// Parses [`SNAPSHOT_VERSION`]; none if it is missing or malformed.
pub fn snapshot_version(headers: &HeaderMap) -> Option<SnapshotVersion> {
    let value = headers.get(SNAPSHOT_VERSION)?.to_str().ok()?;
    let mut words = value.split(' ');
    let number = words.next()?.parse().ok()?;
    // Nodes of an earlier release send the number of the revision alone.
    let mut next = || words.next().map_or(Some(0), |word| word.parse().ok());
    Some(SnapshotVersion {
        revision: Revision::new(next()?, number),
        configuration: next()?,
    })
}

/// Formats the value of [`VIEW`].
pub fn view_value(reported: ReportedAge) -> HeaderValue {
    // A view must not appear fresher than it is: its age is rounded up, and the hold time, which
    // the receiver subtracts, is rounded down.
    let age = reported.age.as_micros().div_ceil(MICROS_IN_MILLISECOND);
    let hold_time = reported.hold_time.as_millis();
    HeaderValue::try_from(format!("{age} {hold_time}")).expect("digits and a blank")
}

/// Parses [`VIEW`]; none if it is missing or malformed.
pub fn view(headers: &HeaderMap) -> Option<ReportedAge> {
    let mut words = headers.get(VIEW)?.to_str().ok()?.split(' ');
    let mut next = || Some(Duration::from_millis(words.next()?.parse().ok()?));
    Some(ReportedAge {
        age: next()?,
        hold_time: next()?,
    })
}

/// The zone that an attempt comes from, and whether it may be redirected or retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptTerms {
    /// The zone of the node that the request's caller sent it to.
    pub zone: String,
    /// Whether the attempt may be refused because another server has capacity for it.
    pub has_alternative: bool,
    /// Whether the request may be sent again if the answer to this attempt is lost.
    pub may_retry: bool,
}

/// Formats the value of [`TREE`].
pub fn tree_value(tree: &CallTreePlace, terms: &AttemptTerms) -> HeaderValue {
    let level = AdmissionLevel::of(tree.priority).0;
    let nested = u8::from(tree.is_nested);
    let repeat = u8::from(tree.is_retry);
    let elsewhere = u8::from(terms.has_alternative);
    let again = u8::from(terms.may_retry);
    let zone = &terms.zone;
    let text = format!("{level} {nested} {repeat} {elsewhere} {again} {zone}");
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static(""))
}

/// Parses [`TREE`]. Attempts without it get the lowest priority.
pub fn tree(headers: &HeaderMap) -> (CallTreePlace, AttemptTerms) {
    let value = headers.get(TREE).and_then(|value| value.to_str().ok());
    let mut words = value.unwrap_or_default().splitn(6, ' ');
    let mut next = || {
        let word = words.next().unwrap_or_default();
        word.parse::<u16>().unwrap_or_default()
    };
    let place = CallTreePlace {
        priority: AdmissionLevel(next()).priority(),
        is_nested: next() != 0,
        is_retry: next() != 0,
    };
    let has_alternative = next() != 0;
    let may_retry = next() != 0;
    let terms = AttemptTerms {
        zone: words.next().unwrap_or_default().to_owned(),
        has_alternative,
        may_retry,
    };
    (place, terms)
}

/// Parses [`NODE`], the address at which the sender of a message receives messages from other
/// nodes; none if it is missing or malformed.
pub fn sender(headers: &HeaderMap) -> Option<SocketAddrV4> {
    headers.get(NODE)?.to_str().ok()?.parse().ok()
}

/// Parses the header `name`, which holds a number; none if it is missing or malformed.
pub fn number<N: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<N> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Parses the header `name`, which holds a duration in whole milliseconds; none if it is missing or
/// malformed.
pub fn milliseconds(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    number(headers, name).map(Duration::from_millis)
}

/// Removes all headers that only nodes may send.
pub fn strip(headers: &mut HeaderMap) {
    remove_all(headers, |name| name.as_str().starts_with(PREFIX));
}
