//! Evidence that a node has about request contents that may crash servers, from its own
//! observations and from other nodes.
//!
//! Nodes compare digests of their evidence and fetch all of it if the digests differ. Until it
//! expires, evidence is only added, and it is merged entry by entry, so that all connected nodes
//! converge to the same evidence.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;
use std::time::Duration;

use lifthollow_protocol::suspects::{CrashReport, SuspectReport, SuspectReports};
use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};
use xxhash_rust::xxh3::Xxh3Default;

use crate::mesh::poison::content::{CallerContent, ContentFingerprint};
use crate::mesh::poison::suspicion::{Evidence, PROVING_CRASHES, SignedTimestamp, Suspicion};

/// Maximum number of contents kept, about 200 bytes each. Above it, the contents with the fewest
/// crashes are dropped first.
const MAX_SUSPECTS: usize = 1024;
/// Minimum time between the starts of two trials at a node, unless the first ends successfully
/// sooner. It is needed because a server may crash shortly after it has broken off its response.
pub const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum age of a proof before requests are refused because of it; until then requests wait. A
/// node may learn of the third crash before it learns of successful runs at other nodes.
pub const MIN_PROOF_AGE: Duration = Duration::from_millis(100);

/// Decision on whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// The request may run.
    Admitted,
    /// The request crashes servers; a trial of it may run after this time.
    Blocked(Duration),
    /// The request crashed servers; a trial of it may run on the server that [`trial_server`]
    /// selects.
    OnTrial,
}

/// Change of the callers for which a content is blocked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// Fingerprint of the content.
    pub content: ContentFingerprint,
    /// Callers whose requests with this content are blocked now; empty if the content is no longer
    /// blocked.
    pub blocked_callers: Vec<ServiceName>,
    /// Servers whose crashes count against the content.
    pub servers: Vec<InstanceId>,
    /// Remaining time of the block; the longest one if it differs between callers.
    pub blocked_for: Duration,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    suspicion: Suspicion,
    /// Callers for which the content was blocked at the last call of [`Suspects::take_changes`].
    reported_blocked_callers: Vec<ServiceName>,
}

/// Run of a blocked content that shows whether it still crashes servers.
#[derive(Clone, Debug)]
struct Trial {
    content: ContentFingerprint,
    started_at: Timestamp,
}

/// All evidence that a node has about contents that may crash servers.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<ContentFingerprint, Suspect>,
    /// Proven contents whose crashes other contents may have caused. Cached, because computing it
    /// goes through all suspects and refusing a request must be cheap.
    ambiguous: HashSet<ContentFingerprint>,
    /// Last trial on the local server, unless it ran successfully.
    trial: Option<Trial>,
    digest: u64,
}

impl Suspects {
    /// Records that `server` crashed while running `contents`. Returns true if the crash
    /// was not known for at least one of them.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        contents: &[CallerContent],
        server: &InstanceId,
    ) -> bool {
        let at = SignedTimestamp::before(now, Duration::ZERO);
        let mut is_new = false;
        for CallerContent { content, caller } in contents {
            let suspect = self.suspects.entry(*content).or_default();
            let evidence = suspect.suspicion.evidence_mut(caller);
            is_new |= evidence.record_crash(server, at);
        }
        self.drop_expired_and_surplus(now);
        is_new
    }

    /// Records that a server ran `request` successfully at `at`.
    pub fn record_successful_run(&mut self, at: Timestamp, request: &CallerContent) {
        self.end_successful_trial(at, &request.content);
        let Some(suspect) = self.suspects.get_mut(&request.content) else {
            return;
        };
        let at = SignedTimestamp::before(at, Duration::ZERO);
        let suspicion = &mut suspect.suspicion;
        let before = content_digest(&request.content, suspicion);
        let had_run_successfully = suspicion.has_run_successfully();
        suspicion
            .evidence_mut(&request.caller)
            .record_successful_run(at);
        let after = content_digest(&request.content, suspicion);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        if after != before || !had_run_successfully {
            self.ambiguous = self.find_ambiguous_contents();
        }
    }

    /// Decides whether `request` may run at `now`.
    pub fn decision(&self, now: Timestamp, request: &CallerContent) -> RunDecision {
        match self.blocked_for(now, request) {
            None => RunDecision::Admitted,
            Some(_) if self.is_explained_by_other_contents(request) => RunDecision::Admitted,
            Some(Duration::ZERO) => RunDecision::OnTrial,
            Some(left) => RunDecision::Blocked(left),
        }
    }

    /// Returns how much longer `request` is blocked if other contents don't explain its crashes:
    /// zero once a trial may run, and `None` if it isn't proven to crash servers.
    fn blocked_for(&self, now: Timestamp, request: &CallerContent) -> Option<Duration> {
        let suspicion = &self.suspects.get(&request.content)?.suspicion;
        let is_ambiguous = self.ambiguous.contains(&request.content);
        suspicion.blocked_for(&request.caller, now, is_ambiguous)
    }

    /// Returns whether other contents explain so many of the crashes that count against `request`
    /// that fewer than [`PROVING_CRASHES`] remain, while its content has run successfully for some
    /// caller.
    ///
    /// Without this check, a frequent content is blocked along with the causes of a series of
    /// crashes that begins before it has run successfully. A single unexplained crash proves
    /// nothing either, as servers crash for other reasons too.
    fn is_explained_by_other_contents(&self, request: &CallerContent) -> bool {
        let Some(suspect) = self.suspects.get(&request.content) else {
            return false;
        };
        if !suspect.suspicion.has_run_successfully() {
            return false;
        }
        let causes = self.possible_causes();
        let crashed = suspect
            .suspicion
            .servers_for_caller(&request.caller)
            .into_iter();
        crashed
            .filter(|server| !causes.contains_key(server))
            .count()
            < PROVING_CRASHES
    }

    /// Returns, for each crashed server, the number of contents that may have caused its crash:
    /// contents that other servers crashed with too and that never ran successfully for any caller.
    fn possible_causes(&self) -> HashMap<&InstanceId, usize> {
        let suspicions = self.suspects.values().map(|suspect| &suspect.suspicion);
        let explaining = suspicions.filter(|suspicion| suspicion.may_explain_other_crashes());
        let mut causes = HashMap::new();
        for server in explaining.flat_map(Suspicion::servers) {
            *causes.entry(server).or_default() += 1;
        }
        causes
    }

    /// Returns how long to wait before `request` may be refused, because its proof is younger than
    /// [`MIN_PROOF_AGE`]; zero if there is no proof or it is old enough.
    pub fn refusal_delay(&self, now: Timestamp, request: &CallerContent) -> Duration {
        let suspect = self.suspects.get(&request.content);
        let time_since_proof =
            suspect.and_then(|suspect| suspect.suspicion.time_since_proof(&request.caller, now));
        time_since_proof.map_or(Duration::ZERO, |age| MIN_PROOF_AGE.saturating_sub(age))
    }

    /// Returns the number of servers that crashed while running `content`, without crashes that a
    /// successful run clears it of.
    pub fn counted_crashes(&self, content: &ContentFingerprint) -> usize {
        let suspect = self.suspects.get(content);
        suspect.map_or(0, |suspect| suspect.suspicion.servers().len())
    }

    /// Starts a trial of `content` on this node's server. Returns false if a trial of any content
    /// began less than [`MIN_TRIAL_INTERVAL`] ago and hasn't ended successfully: a crash during both
    /// trials would count against both contents.
    pub fn begin_trial(&mut self, now: Timestamp, content: &ContentFingerprint) -> bool {
        let is_recent = |trial: &Trial| now.saturating_since(trial.started_at) < MIN_TRIAL_INTERVAL;
        if self.trial.as_ref().is_some_and(is_recent) {
            return false;
        }
        self.trial = Some(Trial {
            content: *content,
            started_at: now,
        });
        true
    }

    /// Ends the trial of `content` after a successful run at `at`, so that the next one may start.
    fn end_successful_trial(&mut self, at: Timestamp, content: &ContentFingerprint) {
        self.trial
            .take_if(|trial| trial.content == *content && at >= trial.started_at);
    }

    /// Returns a digest of the evidence, by which nodes detect that theirs differs; zero if there
    /// is no evidence.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the contents for which there is evidence, whether or not it still counts.
    pub fn contents(&self) -> Vec<ContentFingerprint> {
        self.suspects.keys().copied().collect()
    }

    /// Returns the number of contents with evidence and how many of them are proven to crash
    /// servers.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.suspects.values();
        let proven = suspects.filter(|suspect| suspect.suspicion.is_proven());
        (self.suspects.len(), proven.count())
    }

    /// Returns all evidence as reports for another node, with ages instead of times.
    pub fn reports(&self, now: Timestamp) -> SuspectReports {
        let suspects = self.suspects.iter();
        let reports = suspects.flat_map(|(content, suspect)| {
            let evidence = suspect.suspicion.evidence();
            evidence.map(|(caller, evidence)| evidence_report(now, *content, caller, evidence))
        });
        SuspectReports {
            suspects: reports.collect(),
        }
    }

    /// Merges the reports with which another node answered a request sent at `asked`. Returns true
    /// if they contain a crash that was not known.
    pub fn merge_reports(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        reports: SuspectReports,
    ) -> bool {
        let mut with_new_crashes = Vec::new();
        for report in reports.suspects {
            let content = ContentFingerprint(u128::from_be_bytes(report.content));
            if self.merge_report(asked, content, report) {
                with_new_crashes.push(content);
            }
        }
        self.drop_expired_and_surplus(now);
        // Evidence that has expired by now and was dropped again doesn't count as new.
        with_new_crashes
            .iter()
            .any(|content| self.suspects.contains_key(content))
    }

    fn merge_report(
        &mut self,
        asked: Timestamp,
        content: ContentFingerprint,
        report: SuspectReport,
    ) -> bool {
        // Ages are counted back from when the request was sent, which can make evidence seem too
        // old, but never too recent.
        let time_of_age = |age_ms| SignedTimestamp::before(asked, Duration::from_millis(age_ms));
        let caller = ServiceName::new(&report.caller);
        let known = self.suspects.entry(content).or_default();
        let known = known.suspicion.evidence_mut(&caller);
        let mut is_new = false;
        for crash in &report.crashes {
            is_new |= known.record_crash(&crash.server, time_of_age(crash.age_ms));
        }
        if let Some(served_age_ms) = report.served_ms {
            known.record_successful_run(time_of_age(served_age_ms));
        }
        is_new
    }

    /// Drops expired evidence.
    pub fn drop_expired_evidence(&mut self, now: Timestamp) {
        let before = self.suspects.len();
        self.drop_expired(now);
        if self.suspects.len() != before {
            self.recompute_digest_and_ambiguous();
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.suspects
            .retain(|_, suspect| !suspect.suspicion.is_expired(now));
    }

    /// Returns the contents whose blocked callers have changed since the last call.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<BlockChange> {
        let mut changes = Vec::new();
        for content in self.suspects.keys().copied().collect::<Vec<_>>() {
            let blocked = self.blocked_callers(&content);
            let is_ambiguous = self.ambiguous.contains(&content);
            let Some(suspect) = self.suspects.get_mut(&content) else {
                continue;
            };
            if suspect.reported_blocked_callers == blocked {
                continue;
            }
            let suspicion = &suspect.suspicion;
            let times = blocked
                .iter()
                .filter_map(|caller| suspicion.blocked_for(caller, now, is_ambiguous));
            changes.push(BlockChange {
                content,
                servers: suspicion.servers().into_iter().cloned().collect(),
                blocked_for: times.max().unwrap_or_default(),
                blocked_callers: blocked.clone(),
            });
            suspect.reported_blocked_callers = blocked;
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
        let blocked = requests.filter(|request| !self.is_explained_by_other_contents(request));
        blocked.map(|request| request.caller).collect()
    }

    fn drop_expired_and_surplus(&mut self, now: Timestamp) {
        self.drop_expired(now);
        if self.suspects.len() > MAX_SUSPECTS {
            self.drop_least_suspected();
        }
        self.recompute_digest_and_ambiguous();
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

    /// Recomputes the digest and the cached set of ambiguous contents.
    fn recompute_digest_and_ambiguous(&mut self) {
        let suspects = self.suspects.iter();
        let digests =
            suspects.map(|(content, suspect)| content_digest(content, &suspect.suspicion));
        self.digest = digests.fold(0, u64::wrapping_add);
        self.ambiguous = self.find_ambiguous_contents();
    }

    /// Returns the proven contents for which fewer than [`PROVING_CRASHES`] remain without
    /// those that other contents may have caused. They may be the cause nevertheless.
    fn find_ambiguous_contents(&self) -> HashSet<ContentFingerprint> {
        let suspects = self.suspects.iter();
        let proven = suspects.filter(|(_, suspect)| suspect.suspicion.is_proven());
        let proven: Vec<_> = proven.collect();
        if proven.is_empty() {
            return HashSet::new();
        }
        let causes = self.possible_causes();
        let is_ambiguous = |(_, suspect): &(&ContentFingerprint, &Suspect)| {
            let own = usize::from(suspect.suspicion.may_explain_other_crashes());
            let servers = suspect.suspicion.servers().into_iter();
            let other_causes = |server| causes.get(server).copied().unwrap_or_default() - own;
            servers.filter(|server| other_causes(*server) == 0).count() < PROVING_CRASHES
        };
        let ambiguous = proven.into_iter().filter(is_ambiguous);
        ambiguous.map(|(content, _)| *content).collect()
    }
}

/// Computes the digest of the evidence about one content. It doesn't include times, which differ
/// slightly between nodes.
fn content_digest(content: &ContentFingerprint, suspicion: &Suspicion) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(&content.0.to_be_bytes());
    for (caller, evidence) in suspicion.evidence() {
        hasher.update(caller.as_str().as_bytes());
        hasher.update(&(evidence.counted_crashes().count() as u64).to_be_bytes());
        for (server, _) in evidence.crashes() {
            // Includes the start time, because a restarted server may crash again under the same
            // ID.
            hasher.update(server.to_string().as_bytes());
        }
    }
    hasher.finish()
}

fn evidence_report(
    now: Timestamp,
    content: ContentFingerprint,
    caller: &ServiceName,
    evidence: &Evidence,
) -> SuspectReport {
    let age_ms = |at: SignedTimestamp| {
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
        served_ms: evidence.last_successful_run().map(age_ms),
    }
}

/// Selects the server among `servers` on which a trial of `content` may run. All nodes that know
/// the same servers select the same one, so that the number of trials doesn't grow with the number
/// of nodes. Returns `None` if there are fewer than two servers, as the trial might crash the last
/// server of a service.
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
