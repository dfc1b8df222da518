//! Headers that nodes exchange with each other.

use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use lifthollow_coordination::mesh::admission_queue::Occupancy;
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason, UnknownReason};
use lifthollow_coordination::mesh::reported_load::ReportedLoad;
use lifthollow_coordination::mesh::view_freshness::NamedAge;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Priority;
use lifthollow_state::mesh::{Revision, ServerNotice, SnapshotVersion};

use crate::http::headers::remove_all;

/// What all of them begin with. Callers' headers of this kind are dropped.
pub const PREFIX: &str = "lifthollow-";
/// Path at which a node gives its snapshot.
pub const SNAPSHOT_PATH: &str = "/lifthollow/snapshot";
/// Path at which a node tells which requests may crash servers.
pub const SUSPECTS_PATH: &str = "/lifthollow/suspects";
/// Path at which a node lends tokens of tenants.
pub const QUOTA_PATH: &str = "/lifthollow/quota";
/// Path at which a node says whether it and its server answer.
pub const PROBE_PATH: &str = "/lifthollow/probe";
/// The attempt's tree (place in the order of shedding, nested, repeat) and its
/// [`Terms`].
pub const TREE: HeaderName = HeaderName::from_static("lifthollow-tree");
/// How long the attempt may wait before it runs, milliseconds.
pub const PATIENCE: HeaderName = HeaderName::from_static("lifthollow-patience-ms");
/// Of the sender's snapshot: the number of its revision, the era of that, and the version of its
/// configuration.
pub const SNAPSHOT_VERSION: HeaderName = HeaderName::from_static("lifthollow-revision");
/// In answers: how long ago that revision was known to be the newest, and how long
/// the question was held, milliseconds.
pub const VIEW: HeaderName = HeaderName::from_static("lifthollow-view");
/// Digest of what the sender knows of requests that may crash servers; not there if it
/// knows nothing.
pub const SUSPECTS: HeaderName = HeaderName::from_static("lifthollow-suspects");
/// Where the sender takes messages of other nodes.
pub const NODE: HeaderName = HeaderName::from_static("lifthollow-node");
/// In a probe: the identity of the request that the sender waits for. In its answer:
/// [`IN_PROGRESS`], or [`NOT_HERE`].
pub const WAITING_FOR: HeaderName = HeaderName::from_static("lifthollow-waiting-for");
/// How the attempt ended.
pub const OUTCOME: HeaderName = HeaderName::from_static("lifthollow-outcome");
/// Running, waiting and allowed requests at the server, its admission level, and
/// the share of requests that it fails, in thousandths.
pub const LOAD: HeaderName = HeaderName::from_static("lifthollow-load");

/// In answers: what the server says of itself, its limit (or [`NO_LIMIT`]) and whether it leaves;
/// not there if it says nothing.
pub const SERVER_NOTICE: HeaderName = HeaderName::from_static("lifthollow-server-notice");
/// With an attempt: the limit that its server named to the sender; not there if it named none.
pub const TOLD_LIMIT: HeaderName = HeaderName::from_static("lifthollow-told-limit");

/// Where an attempt stands in the tree of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TreePlace {
    /// The tree's place in the order of shedding.
    pub priority: Priority,
    /// Whether a server made it for a request of its own.
    pub is_nested: bool,
    /// Whether a server may have run it, or what it is made for, before.
    pub is_repeat: bool,
}

/// The word for a request that a probed node has an attempt of.
pub const IN_PROGRESS: &str = "in-progress";
/// The word for a request that a probed node has no attempt of.
pub const NOT_HERE: &str = "not-here";
/// The word for a request that crashes the servers that run it.
pub const CRASHES_SERVERS: &str = "crashes-servers";
/// The word for an attempt that the server answered.
pub const ANSWERED: &str = "answered";
const THOUSANDTHS: f64 = 1000.0;
const MICROS_IN_MILLISECOND: u128 = 1000;
/// The word for the limit of a server that names none.
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

/// The word for a reason, in headers, logs and metrics.
pub fn not_run_word(reason: NotRunReason) -> &'static str {
    word(&NOT_RUN_REASONS, reason)
}

/// The word for a reason, in headers, logs and metrics.
pub fn unknown_word(reason: UnknownReason) -> &'static str {
    word(&UNKNOWN_REASONS, reason)
}

/// The words for how an attempt ended, in logs and metrics; none if the server
/// answered it.
pub fn failure_words(end: &AttemptEnd) -> Option<(&'static str, &'static str)> {
    match end {
        AttemptEnd::Answered => None,
        AttemptEnd::NotRun { reason, .. } => Some((NOT_RUN, not_run_word(*reason))),
        AttemptEnd::Unknown { reason } => Some((UNKNOWN, unknown_word(*reason))),
    }
}

fn word<R: Copy + PartialEq>(words: &[(&'static str, R)], reason: R) -> &'static str {
    let found = words.iter().find(|(_, known)| *known == reason);
    found.map_or("other", |(word, _)| word)
}

fn reason<R: Copy>(words: &[(&'static str, R)], wanted: &str) -> Option<R> {
    let found = words.iter().find(|(word, _)| *word == wanted);
    found.map(|(_, reason)| *reason)
}

/// The value of [`OUTCOME`].
pub fn outcome_value(end: &AttemptEnd) -> HeaderValue {
    let text = match end {
        AttemptEnd::Answered => return HeaderValue::from_static(ANSWERED),
        AttemptEnd::Unknown { reason } => format!("{UNKNOWN} {}", unknown_word(*reason)),
        AttemptEnd::NotRun {
            offered,
            reason,
            retry_after,
        } => {
            let offered = u8::from(*offered);
            let retry_after = retry_after.unwrap_or_default().as_millis();
            format!(
                "{NOT_RUN} {} {offered} {retry_after}",
                not_run_word(*reason)
            )
        }
    };
    HeaderValue::try_from(text).expect("the words are plain text")
}

/// Reads [`OUTCOME`]; what can't be read counts as unknown.
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
            let reason = reason(&UNKNOWN_REASONS, words.next()?)?;
            Some(AttemptEnd::Unknown { reason })
        }
        NOT_RUN => {
            let reason = reason(&NOT_RUN_REASONS, words.next()?)?;
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

/// The value of [`LOAD`].
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

/// Reads [`LOAD`].
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

/// The value of [`SERVER_NOTICE`]; none if the server says nothing.
pub fn server_notice_value(notice: ServerNotice) -> Option<HeaderValue> {
    if notice == ServerNotice::default() {
        return None;
    }
    let limit = notice.limit.map(|limit| limit.to_string());
    let limit = limit.as_deref().unwrap_or(NO_LIMIT);
    let is_leaving = u8::from(notice.is_leaving);
    HeaderValue::try_from(format!("{limit} {is_leaving}")).ok()
}

/// Reads [`SERVER_NOTICE`].
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

/// The value of [`SNAPSHOT_VERSION`].
pub fn snapshot_version_value(version: SnapshotVersion) -> HeaderValue {
    let Revision { era, number } = version.revision;
    let text = format!("{number} {era} {}", version.configuration);
    HeaderValue::try_from(text).expect("digits and blanks")
}

/// Reads [`SNAPSHOT_VERSION`].
pub fn snapshot_version(headers: &HeaderMap) -> Option<SnapshotVersion> {
    let value = headers.get(SNAPSHOT_VERSION)?.to_str().ok()?;
    let mut words = value.split(' ');
    let number = words.next()?.parse().ok()?;
    // Nodes of an earlier release name the number alone.
    let mut next = || words.next().map_or(Some(0), |word| word.parse().ok());
    Some(SnapshotVersion {
        revision: Revision::new(next()?, number),
        configuration: next()?,
    })
}

/// The value of [`VIEW`].
pub fn view_value(named: NamedAge) -> HeaderValue {
    // A view must not seem younger than it is: its age is rounded up, and the time
    // that is taken off it by who reads this is rounded down.
    let age = named.age.as_micros().div_ceil(MICROS_IN_MILLISECOND);
    let held = named.held.as_millis();
    HeaderValue::try_from(format!("{age} {held}")).expect("digits and a blank")
}

/// Reads [`VIEW`].
pub fn view(headers: &HeaderMap) -> Option<NamedAge> {
    let mut words = headers.get(VIEW)?.to_str().ok()?.split(' ');
    let mut next = || Some(Duration::from_millis(words.next()?.parse().ok()?));
    Some(NamedAge {
        age: next()?,
        held: next()?,
    })
}

/// What an attempt allows, and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The zone that the request started in.
    pub zone: String,
    /// Whether another server has room for it.
    pub may_go_elsewhere: bool,
    /// Whether it can be sent again if its answer is lost.
    pub may_repeat: bool,
}

/// The value of [`TREE`].
pub fn tree_value(tree: &TreePlace, terms: &Terms) -> HeaderValue {
    let level = AdmissionLevel::of(tree.priority).0;
    let nested = u8::from(tree.is_nested);
    let repeat = u8::from(tree.is_repeat);
    let elsewhere = u8::from(terms.may_go_elsewhere);
    let again = u8::from(terms.may_repeat);
    let zone = &terms.zone;
    let text = format!("{level} {nested} {repeat} {elsewhere} {again} {zone}");
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static(""))
}

/// Reads [`TREE`]; requests without one are the least important.
pub fn tree(headers: &HeaderMap) -> (TreePlace, Terms) {
    let value = headers.get(TREE).and_then(|value| value.to_str().ok());
    let mut words = value.unwrap_or_default().splitn(6, ' ');
    let mut next = || {
        let word = words.next().unwrap_or_default();
        word.parse::<u16>().unwrap_or_default()
    };
    let place = TreePlace {
        priority: AdmissionLevel(next()).priority(),
        is_nested: next() != 0,
        is_repeat: next() != 0,
    };
    let may_go_elsewhere = next() != 0;
    let may_repeat = next() != 0;
    let terms = Terms {
        zone: words.next().unwrap_or_default().to_owned(),
        may_go_elsewhere,
        may_repeat,
    };
    (place, terms)
}

/// Where the sender of a message takes messages itself.
pub fn sender(headers: &HeaderMap) -> Option<SocketAddrV4> {
    headers.get(NODE)?.to_str().ok()?.parse().ok()
}

/// Reads a header that holds a whole number.
pub fn number<N: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<N> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a header that holds whole milliseconds.
pub fn milliseconds(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    number(headers, name).map(Duration::from_millis)
}

/// Drops all headers that only nodes may send.
pub fn strip(headers: &mut HeaderMap) {
    remove_all(headers, |name| name.as_str().starts_with(PREFIX));
}
