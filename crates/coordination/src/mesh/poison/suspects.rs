//! What a node knows of contents that may crash servers, by its own eyes and by what
//! other nodes tell.
//!
//! Nodes compare digests of what they know, and fetch the whole where it differs.
//! Knowledge only grows until it is over, and is joined entry by entry, so that all
//! nodes that are in touch end with the same.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;
use std::time::Duration;

use lifthollow_protocol::suspects::{CrashReport, SuspectReport, SuspectReports};
use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};
use xxhash_rust::xxh3::Xxh3Default;

use crate::mesh::poison::content::{CallerContent, ContentFingerprint};
use crate::mesh::poison::suspicion::{Evidence, Moment, PROOF, Suspicion};

/// Contents that are kept, about 200 bytes each. The ones with the fewest crashes go first.
const MAX_SUSPECTS: usize = 1024;
/// A node lets one trial run in this time, unless it ends well sooner. A server may crash a moment
/// after it has broken off its answer.
pub const TRIAL_PAUSE: Duration = Duration::from_secs(2);

/// No request is refused for a proof that is younger: a node may know of the third crash before
/// it knows of good runs at others. Requests wait meanwhile.
pub const SETTLING: Duration = Duration::from_millis(100);

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
    /// The callers whose requests are blocked now; empty if there are none any more.
    pub blocked_callers: Vec<ServiceName>,
    /// The servers that crashed with it aboard.
    pub servers: Vec<InstanceId>,
    /// How long it is blocked.
    pub blocked_for: Duration,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    suspicion: Suspicion,
    /// The callers for whom it was blocked when changes were last asked for.
    told_blocked: Vec<ServiceName>,
}

/// A run that shows whether a content still crashes servers.
#[derive(Clone, Debug)]
struct Trial {
    content: ContentFingerprint,
    began: Timestamp,
}

/// All that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<ContentFingerprint, Suspect>,
    /// Those proven contents whose crashes others may have caused. Kept, as finding out takes a
    /// look at all suspects, and a blocked request must cost little.
    doubtful: HashSet<ContentFingerprint>,
    /// The last one at the server beside this node, unless it ran well.
    trial: Option<Trial>,
    digest: u64,
}

impl Suspects {
    /// `server` crashed with these contents aboard. True if that is news.
    pub fn note_crash(
        &mut self,
        now: Timestamp,
        aboard: &[CallerContent],
        server: &InstanceId,
    ) -> bool {
        let at = Moment::before(now, Duration::ZERO);
        let mut is_new = false;
        for CallerContent { content, caller } in aboard {
            let suspect = self.suspects.entry(*content).or_default();
            let evidence = suspect.suspicion.evidence_mut(caller);
            is_new |= evidence.note_crash(server, at);
        }
        self.bound(now);
        is_new
    }

    /// A server ran `request` well at `at`.
    pub fn note_served(&mut self, at: Timestamp, request: &CallerContent) {
        self.end_trial(at, &request.content);
        let Some(suspect) = self.suspects.get_mut(&request.content) else {
            return;
        };
        let at = Moment::before(at, Duration::ZERO);
        let suspicion = &mut suspect.suspicion;
        let before = digest(&request.content, suspicion);
        let had_run_well = suspicion.has_run_well();
        suspicion.evidence_mut(&request.caller).note_served(at);
        let after = digest(&request.content, suspicion);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        if after != before || !had_run_well {
            self.doubtful = self.find_doubtful();
        }
    }

    /// What may be done with a request.
    pub fn verdict(&self, now: Timestamp, request: &CallerContent) -> Verdict {
        match self.blocked_for(now, request) {
            None => Verdict::Admitted,
            Some(_) if self.is_explained(request) => Verdict::Admitted,
            Some(Duration::ZERO) => Verdict::OnTrial,
            Some(left) => Verdict::Blocked(left),
        }
    }

    /// How long a request is still blocked if nothing but a trial ends that; zero once it may be
    /// tried.
    fn blocked_for(&self, now: Timestamp, request: &CallerContent) -> Option<Duration> {
        let suspicion = &self.suspects.get(&request.content)?.suspicion;
        let is_doubtful = self.doubtful.contains(&request.content);
        suspicion.blocked_for(&request.caller, now, is_doubtful)
    }

    /// Whether other contents explain so many of the crashes that speak against this request
    /// that the rest prove nothing, while this one's content runs well for other callers.
    ///
    /// Otherwise what is asked often is blocked with the causes of an outbreak that begins
    /// before it has run well. One crash more that nothing explains is no proof either: servers
    /// crash for other causes too.
    fn is_explained(&self, request: &CallerContent) -> bool {
        let Some(suspect) = self.suspects.get(&request.content) else {
            return false;
        };
        if !suspect.suspicion.has_run_well() {
            return false;
        }
        let causes = self.possible_causes();
        let crashed = suspect.suspicion.servers_of(&request.caller).into_iter();
        crashed
            .filter(|server| !causes.contains_key(server))
            .count()
            < PROOF
    }

    /// The servers that contents may have crashed which crashed others too and never ran well for
    /// anybody, and how many such contents.
    fn possible_causes(&self) -> HashMap<&InstanceId, usize> {
        let suspicions = self.suspects.values().map(|suspect| &suspect.suspicion);
        let explaining = suspicions.filter(|suspicion| suspicion.explains_others());
        let mut causes = HashMap::new();
        for server in explaining.flat_map(Suspicion::servers) {
            *causes.entry(server).or_default() += 1;
        }
        causes
    }

    /// How long to wait before a request is refused for a proof that is this young; zero if
    /// there is none, or it is old enough.
    pub fn settles_in(&self, now: Timestamp, request: &CallerContent) -> Duration {
        let suspect = self.suspects.get(&request.content);
        let proven_for =
            suspect.and_then(|suspect| suspect.suspicion.proven_for(&request.caller, now));
        proven_for.map_or(Duration::ZERO, |age| SETTLING.saturating_sub(age))
    }

    /// The servers that crashed with `content` aboard, as far as no good run speaks against it.
    pub fn crashes(&self, content: &ContentFingerprint) -> usize {
        let suspect = self.suspects.get(content);
        suspect.map_or(0, |suspect| suspect.suspicion.servers().len())
    }

    /// A trial of `content` asks to run at this node's server. False if one of any content has
    /// begun a moment ago and has not ended well: a crash under both would speak against both.
    pub fn begin_trial(&mut self, now: Timestamp, content: &ContentFingerprint) -> bool {
        let is_recent = |trial: &Trial| now.saturating_since(trial.began) < TRIAL_PAUSE;
        if self.trial.as_ref().is_some_and(is_recent) {
            return false;
        }
        self.trial = Some(Trial {
            content: *content,
            began: now,
        });
        true
    }

    /// A trial that runs well makes way for the next one.
    fn end_trial(&mut self, at: Timestamp, content: &ContentFingerprint) {
        self.trial
            .take_if(|trial| trial.content == *content && at >= trial.began);
    }

    /// Tells what is known apart from what another node knows; zero if nothing is.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All that is suspected or was.
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
        let reports = suspects.flat_map(|(content, suspect)| {
            let evidence = suspect.suspicion.evidence();
            evidence.map(|(caller, evidence)| report(now, *content, caller, evidence))
        });
        SuspectReports {
            suspects: reports.collect(),
        }
    }

    /// Joins what another node answered to a question of `asked`. True if it tells of a
    /// crash that was not known.
    pub fn join(&mut self, now: Timestamp, asked: Timestamp, reports: SuspectReports) -> bool {
        let mut news = Vec::new();
        for report in reports.suspects {
            let content = ContentFingerprint(u128::from_be_bytes(report.content));
            if self.join_one(asked, content, report) {
                news.push(content);
            }
        }
        self.bound(now);
        // What is over by now is no news.
        news.iter()
            .any(|content| self.suspects.contains_key(content))
    }

    fn join_one(
        &mut self,
        asked: Timestamp,
        content: ContentFingerprint,
        report: SuspectReport,
    ) -> bool {
        // From the question on: an age may be told too great, and never too small.
        let moment = |age_ms| Moment::before(asked, Duration::from_millis(age_ms));
        let caller = ServiceName::new(&report.caller);
        let known = self.suspects.entry(content).or_default();
        let known = known.suspicion.evidence_mut(&caller);
        let mut is_new = false;
        for crash in &report.crashes {
            is_new |= known.note_crash(&crash.server, moment(crash.age_ms));
        }
        if let Some(served) = report.served_ms {
            known.note_served(moment(served));
        }
        is_new
    }

    /// Forgets what is over.
    pub fn forget_old(&mut self, now: Timestamp) {
        let before = self.suspects.len();
        self.drop_over(now);
        if self.suspects.len() != before {
            self.refresh();
        }
    }

    fn drop_over(&mut self, now: Timestamp) {
        self.suspects
            .retain(|_, suspect| !suspect.suspicion.is_over(now));
    }

    /// The contents that were blocked, or admitted again, since this was last asked.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        for content in self.suspects.keys().copied().collect::<Vec<_>>() {
            let blocked = self.blocked_callers(&content);
            let is_doubtful = self.doubtful.contains(&content);
            let Some(suspect) = self.suspects.get_mut(&content) else {
                continue;
            };
            if suspect.told_blocked == blocked {
                continue;
            }
            let suspicion = &suspect.suspicion;
            let times = blocked
                .iter()
                .filter_map(|caller| suspicion.blocked_for(caller, now, is_doubtful));
            changes.push(Change {
                content,
                servers: suspicion.servers().into_iter().cloned().collect(),
                blocked_for: times.max().unwrap_or_default(),
                blocked_callers: blocked.clone(),
            });
            suspect.told_blocked = blocked;
        }
        changes
    }

    fn blocked_callers(&self, content: &ContentFingerprint) -> Vec<ServiceName> {
        let suspect = self.suspects.get(content);
        let proven = suspect.map(|suspect| suspect.suspicion.proven_callers());
        let proven = proven.unwrap_or_default().into_iter();
        let requests = proven.map(|caller| CallerContent {
            content: *content,
            caller: caller.clone(),
        });
        let blocked = requests.filter(|request| !self.is_explained(request));
        blocked.map(|request| request.caller).collect()
    }

    fn bound(&mut self, now: Timestamp) {
        self.drop_over(now);
        if self.suspects.len() > MAX_SUSPECTS {
            self.drop_least_suspected();
        }
        self.refresh();
    }

    fn drop_least_suspected(&mut self) {
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(content, suspect)| {
                let suspicion = &suspect.suspicion;
                let crashes = suspicion.evidence().flat_map(|(_, by)| by.crashes());
                let last = crashes.map(|(_, at)| at).max();
                (suspicion.servers().len(), last, *content)
            })
            .collect();
        order.sort_unstable();
        let surplus = order.len() - MAX_SUSPECTS;
        for (_, _, content) in order.into_iter().take(surplus) {
            self.suspects.remove(&content);
        }
    }

    /// Finds out anew what is kept of all suspects together.
    fn refresh(&mut self) {
        let suspects = self.suspects.iter();
        let digests = suspects.map(|(content, suspect)| digest(content, &suspect.suspicion));
        self.digest = digests.fold(0, u64::wrapping_add);
        self.doubtful = self.find_doubtful();
    }

    /// The proven contents of whose crashes others may have caused so many that the rest prove
    /// nothing. They may be the cause all the same.
    fn find_doubtful(&self) -> HashSet<ContentFingerprint> {
        let suspects = self.suspects.iter();
        let proven = suspects.filter(|(_, suspect)| suspect.suspicion.is_proven());
        let proven: Vec<_> = proven.collect();
        if proven.is_empty() {
            return HashSet::new();
        }
        let causes = self.possible_causes();
        let is_doubtful = |(_, suspect): &(&ContentFingerprint, &Suspect)| {
            let own = usize::from(suspect.suspicion.explains_others());
            let servers = suspect.suspicion.servers().into_iter();
            let other_causes = |server| causes.get(server).copied().unwrap_or_default() - own;
            servers.filter(|server| other_causes(*server) == 0).count() < PROOF
        };
        let doubtful = proven.into_iter().filter(is_doubtful);
        doubtful.map(|(content, _)| *content).collect()
    }
}

/// Does not depend on moments, which differ a little from node to node.
fn digest(content: &ContentFingerprint, suspicion: &Suspicion) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(&content.0.to_be_bytes());
    for (caller, evidence) in suspicion.evidence() {
        hasher.update(caller.as_str().as_bytes());
        hasher.update(&(evidence.counted().count() as u64).to_be_bytes());
        for (server, _) in evidence.crashes() {
            // With its start: the same server may crash again under its identity.
            hasher.update(server.to_string().as_bytes());
        }
    }
    hasher.finish()
}

fn report(
    now: Timestamp,
    content: ContentFingerprint,
    caller: &ServiceName,
    evidence: &Evidence,
) -> SuspectReport {
    let age_ms = |at: Moment| {
        let age = at.age(now);
        u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
    };
    let crashes = evidence.crashes();
    SuspectReport {
        content: content.0.to_be_bytes(),
        caller: caller.as_str().to_owned(),
        crashes: crashes
            .map(|(server, at)| CrashReport {
                server: server.clone(),
                age_ms: age_ms(at),
            })
            .collect(),
        served_ms: evidence.served().map(age_ms),
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
