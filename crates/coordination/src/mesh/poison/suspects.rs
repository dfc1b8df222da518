//! What a node knows of contents that may crash servers, by its own eyes and by what
//! other nodes tell.
//!
//! Nodes compare digests of what they know, and fetch the whole where it differs.
//! Knowledge only grows until it is over, and is joined entry by entry, so that all
//! nodes that are in touch end with the same.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hasher;
use std::time::Duration;

use lifthollow_protocol::suspects::{CrashReport, SuspectReport, SuspectReports};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;
use xxhash_rust::xxh3::Xxh3Default;

use crate::mesh::poison::content::ContentFingerprint;
use crate::mesh::poison::suspicion::{Moment, Suspicion};

/// At most so many contents are kept, about 200 bytes each. A crash names those that ran
/// there, 140 at the largest servers seen. The ones with the fewest crashes go first.
const MAX_SUSPECTS: usize = 1024;
/// A node lets one trial of a content run in this time. A server may crash a moment after it
/// has broken off its answer.
const TRIAL_PAUSE: Duration = Duration::from_secs(2);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Admitted,
    /// It crashes servers, and may be tried after this time.
    Blocked(Duration),
    /// It crashed servers; it may run at the server that [`trial_server`] names.
    OnTrial,
}

/// A content whose standing has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The content.
    pub content: ContentFingerprint,
    /// Whether it is proven now to crash servers.
    pub is_proven: bool,
    /// The servers that crashed with it aboard.
    pub servers: Vec<InstanceId>,
    /// How long it is blocked.
    pub blocked_for: Duration,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    suspicion: Suspicion,
    last_trial: Option<Timestamp>,
    /// Whether it was proven when changes were last asked for.
    was_proven: bool,
}

/// All that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<ContentFingerprint, Suspect>,
    digest: u64,
}

impl Suspects {
    /// `server` crashed with these contents aboard. True if that is news.
    pub fn note_crash(
        &mut self,
        now: Timestamp,
        contents: &[ContentFingerprint],
        server: &InstanceId,
    ) -> bool {
        let at = Moment::before(now, Duration::ZERO);
        let mut is_new = false;
        for content in contents {
            let suspect = self.suspects.entry(*content).or_default();
            is_new |= suspect.suspicion.note_crash(server, at);
        }
        self.bound(now);
        is_new
    }

    /// A server ran `content` well. True if that clears it of crashes.
    pub fn note_served(&mut self, now: Timestamp, content: &ContentFingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(content) else {
            return false;
        };
        let at = Moment::before(now, Duration::ZERO);
        let before = digest(content, &suspect.suspicion);
        let is_cleared = suspect.suspicion.note_served(at);
        let after = digest(content, &suspect.suspicion);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        is_cleared
    }

    /// What may be done with a request of this content.
    pub fn verdict(&self, now: Timestamp, content: &ContentFingerprint) -> Verdict {
        let Some(suspect) = self.suspects.get(content) else {
            return Verdict::Admitted;
        };
        if !suspect.suspicion.is_proven() {
            return Verdict::Admitted;
        }
        let left = suspect.suspicion.blocked_for(now);
        if left.is_zero() {
            Verdict::OnTrial
        } else {
            Verdict::Blocked(left)
        }
    }

    /// Crashes that `content` was aboard of, and that no good run speaks against.
    pub fn crashes(&self, content: &ContentFingerprint) -> usize {
        let suspect = self.suspects.get(content);
        suspect.map_or(0, |suspect| suspect.suspicion.counted())
    }

    /// A trial of `content` asks to run at this node's server. False if one has run a
    /// moment ago.
    pub fn begin_trial(&mut self, now: Timestamp, content: &ContentFingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(content) else {
            return true;
        };
        let last = suspect.last_trial;
        let may_run = last.is_none_or(|last| now.saturating_since(last) >= TRIAL_PAUSE);
        if may_run {
            suspect.last_trial = Some(now);
        }
        may_run
    }

    /// Tells what is known apart from what another node knows; zero if nothing is.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All contents that are suspected or were.
    pub fn contents(&self) -> Vec<ContentFingerprint> {
        self.suspects.keys().copied().collect()
    }

    /// How many contents are suspected, and how many of them are proven.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.suspects.values();
        let proven = suspects.filter(|suspect| suspect.suspicion.is_proven());
        (self.suspects.len(), proven.count())
    }

    /// All that is known, for another node.
    pub fn reports(&self, now: Timestamp) -> SuspectReports {
        let suspects = self.suspects.iter();
        let suspects = suspects.map(|(content, suspect)| report(now, *content, suspect));
        SuspectReports {
            suspects: suspects.collect(),
        }
    }

    /// Joins what another node answered to a question of `asked`. True if it tells of a
    /// crash that was not known.
    pub fn join(&mut self, now: Timestamp, asked: Timestamp, reports: SuspectReports) -> bool {
        let mut is_new = false;
        for report in reports.suspects {
            is_new |= self.join_one(now, asked, report);
        }
        self.bound(now);
        is_new
    }

    fn join_one(&mut self, now: Timestamp, asked: Timestamp, report: SuspectReport) -> bool {
        // From the question on: an age may be told too great, and never too small.
        let moment = |age_ms| Moment::before(asked, Duration::from_millis(age_ms));
        let mut told = Suspicion::default();
        for crash in &report.crashes {
            told.note_crash(&crash.server, moment(crash.age_ms));
        }
        if let Some(served) = report.served_ms {
            told.note_served(moment(served));
        }
        if told.is_over(now) {
            return false;
        }
        let content = ContentFingerprint(u128::from_be_bytes(report.content));
        let known = match self.suspects.entry(content) {
            Entry::Occupied(known) => &mut known.into_mut().suspicion,
            Entry::Vacant(place) => &mut place.insert(Suspect::default()).suspicion,
        };
        let mut is_new = false;
        for (server, at) in told.crashes() {
            is_new |= known.note_crash(server, at);
        }
        if let Some(served) = told.served() {
            known.note_served(served);
        }
        is_new
    }

    /// Forgets what is over.
    pub fn forget_old(&mut self, now: Timestamp) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, suspect| !suspect.suspicion.is_over(now));
        if self.suspects.len() != before {
            self.refresh_digest();
        }
    }

    /// The contents that were proven, or cleared, since this was last asked.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        for (content, suspect) in &mut self.suspects {
            let is_proven = suspect.suspicion.is_proven();
            if suspect.was_proven == is_proven {
                continue;
            }
            suspect.was_proven = is_proven;
            let crashes = suspect.suspicion.crashes();
            changes.push(Change {
                content: *content,
                is_proven,
                servers: crashes.map(|(server, _)| server.clone()).collect(),
                blocked_for: suspect.suspicion.blocked_for(now),
            });
        }
        changes
    }

    fn bound(&mut self, now: Timestamp) {
        self.forget_old(now);
        if self.suspects.len() > MAX_SUSPECTS {
            self.drop_least_suspected();
        }
        self.refresh_digest();
    }

    fn drop_least_suspected(&mut self) {
        let last_crash = |suspicion: &Suspicion| suspicion.crashes().map(|(_, at)| at).max();
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(content, suspect)| {
                let suspicion = &suspect.suspicion;
                (suspicion.counted(), last_crash(suspicion), *content)
            })
            .collect();
        order.sort_unstable();
        let surplus = order.len() - MAX_SUSPECTS;
        for (_, _, content) in order.into_iter().take(surplus) {
            self.suspects.remove(&content);
        }
    }

    fn refresh_digest(&mut self) {
        let suspects = self.suspects.iter();
        let digests = suspects.map(|(content, suspect)| digest(content, &suspect.suspicion));
        self.digest = digests.fold(0, u64::wrapping_add);
    }
}

/// Does not depend on moments, which differ a little from node to node.
fn digest(content: &ContentFingerprint, suspicion: &Suspicion) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(&content.0.to_be_bytes());
    hasher.update(&(suspicion.counted() as u64).to_be_bytes());
    for (server, _) in suspicion.crashes() {
        hasher.update(server.as_str().as_bytes());
    }
    hasher.finish()
}

fn report(now: Timestamp, content: ContentFingerprint, suspect: &Suspect) -> SuspectReport {
    let age_ms = |at: Moment| {
        let age = at.age(now);
        u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
    };
    let crashes = suspect.suspicion.crashes();
    SuspectReport {
        content: content.0.to_be_bytes(),
        crashes: crashes
            .map(|(server, at)| CrashReport {
                server: server.clone(),
                age_ms: age_ms(at),
            })
            .collect(),
        served_ms: suspect.suspicion.served().map(age_ms),
    }
}

/// The one server of `servers` at which a content may be tried: all nodes that know the
/// same servers name the same one, so that their trials don't add up. None for the last
/// server of a service, which a trial might end.
pub fn trial_server<'s>(
    content: &ContentFingerprint,
    servers: &'s [InstanceId],
) -> Option<&'s InstanceId> {
    if servers.len() < 2 {
        return None;
    }
    servers.iter().max_by_key(|server| {
        let mut hasher = Xxh3Default::new();
        hasher.update(&content.0.to_be_bytes());
        hasher.update(server.as_str().as_bytes());
        (hasher.finish(), *server)
    })
}
