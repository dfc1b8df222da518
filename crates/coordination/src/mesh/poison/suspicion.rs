//! Evidence that one request content crashes servers, by calling service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};

/// Number of crashed servers, without a successful run since the first crash, that proves that a
/// content is the cause. With two, a harmless request that was running together with the cause on
/// one server and was sent again would be blocked as well.
pub const PROVING_CRASHES: usize = 3;
/// Number of crashed servers from which a content that never ran successfully is taken as a
/// possible cause of these crashes. One may be chance: a content that is requested only once is
/// running during at most one crash.
const MIN_SERVERS_TO_EXPLAIN: usize = 2;
/// A successful run clears a content of all earlier crashes and of those within this time after
/// it. Harmless requests are running, too, when a rack of servers loses power at once, and nothing
/// runs successfully while another request crashes all servers as soon as they are back. The price:
/// if a content that ran successfully starts to crash servers, the crashes within this time are not
/// counted against it and come on top of those that prove it.
pub const SUCCESS_CLEARS_CRASHES_FOR: Duration = Duration::from_secs(10);
/// Crashes that are closer together than this belong to one admission of the content: they are
/// caused by copies that were already in flight when the content was proven.
const SAME_ADMISSION_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a proven content is blocked, by the number of failed trials. The first is long
/// enough for servers to restart and warm up; then one trial run is allowed, so that a wrong block
/// ends. The increasing times make trials that crash a server rare.
const BLOCK_DURATIONS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Time for which a content is blocked at first if other contents may have caused most of its
/// crashes; only a trial run shows which of them is the cause. It is longer than
/// [`SAME_ADMISSION_WINDOW`] and than reports take to reach other nodes, so that a crash during
/// that run counts as a failed trial.
const FIRST_BLOCK_IF_AMBIGUOUS: Duration = Duration::from_secs(12);
/// Time after its last crash at which an unproven content is forgotten. Most such contents were
/// running together with the cause by chance and are never requested again.
const UNPROVEN_RETENTION: Duration = Duration::from_secs(10 * 60);
/// Time after the end of its block at which a proven content without new crashes is forgotten.
const RETENTION_AFTER_BLOCK: Duration = Duration::from_secs(60 * 60);

/// Time on the clock of this process. It may be negative, before the start of that clock, because
/// other nodes report crashes and runs from before this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedTimestamp(i64);

impl SignedTimestamp {
    /// Returns the time `age` before `now`.
    pub fn before(now: Timestamp, age: Duration) -> Self {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        SignedTimestamp((now.as_micros() as i64).saturating_sub(age))
    }

    /// Returns the time elapsed since this time; zero if it is in the future.
    pub fn age(self, now: Timestamp) -> Duration {
        let age = (now.as_micros() as i64).saturating_sub(self.0);
        Duration::from_micros(age.max(0) as u64)
    }

    /// Returns how much of `duration`, counted from this time, is left at `now`; zero if
    /// it has elapsed.
    fn remaining(self, duration: Duration, now: Timestamp) -> Duration {
        duration.saturating_sub(self.age(now))
    }

    fn plus(self, duration: Duration) -> Self {
        SignedTimestamp(self.0.saturating_add(duration.as_micros() as i64))
    }
}

/// Crashes during which requests with one content from one calling service were running, and the
/// last successful run of such a request.
///
/// The evidence of two nodes is merged by taking the later of each pair of times, so that the
/// result doesn't depend on the order in which reports arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    crashes: BTreeMap<InstanceId, SignedTimestamp>,
    last_successful_run: Option<SignedTimestamp>,
}

impl Evidence {
    /// Records that `server` crashed at `at` while the content was running there. Returns true if
    /// that crash was not known.
    pub fn record_crash(&mut self, server: &InstanceId, at: SignedTimestamp) -> bool {
        match self.crashes.get_mut(server) {
            Some(known) => {
                *known = at.max(*known);
                false
            }
            None => {
                self.crashes.insert(server.clone(), at);
                true
            }
        }
    }

    /// Records that a server ran the content successfully at `at`.
    pub fn record_successful_run(&mut self, at: SignedTimestamp) {
        self.last_successful_run = self.last_successful_run.max(Some(at));
    }

    /// Returns the servers that crashed while running the content, each with the time of its crash.
    pub fn crashes(&self) -> impl Iterator<Item = (&InstanceId, SignedTimestamp)> {
        self.crashes.iter().map(|(server, at)| (server, *at))
    }

    /// Returns when a server last ran the content successfully, if that is known.
    pub fn last_successful_run(&self) -> Option<SignedTimestamp> {
        self.last_successful_run
    }

    /// Returns the crashes that no successful run clears the content of.
    pub fn counted_crashes(&self) -> impl Iterator<Item = (&InstanceId, SignedTimestamp)> {
        let cleared_until = self
            .last_successful_run
            .map(|success| success.plus(SUCCESS_CLEARS_CRASHES_FOR));
        self.crashes()
            .filter(move |(_, at)| cleared_until.is_none_or(|cleared_until| *at > cleared_until))
    }
}

/// Evidence about one content, by calling service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    by_caller: BTreeMap<ServiceName, Evidence>,
}

impl Suspicion {
    /// Returns the evidence from requests of `caller`, created empty if there is none.
    pub fn evidence_mut(&mut self, caller: &ServiceName) -> &mut Evidence {
        self.by_caller.entry(caller.clone()).or_default()
    }

    /// Returns the evidence for each calling service.
    pub fn evidence(&self) -> impl Iterator<Item = (&ServiceName, &Evidence)> {
        self.by_caller.iter()
    }

    /// Returns the servers whose crashes count against the content, for all callers.
    pub fn servers(&self) -> BTreeSet<&InstanceId> {
        self.counted_crashes().map(|(server, _)| server).collect()
    }

    /// Returns the servers whose crashes during requests of `caller` count against the content.
    pub fn servers_for_caller(&self, caller: &ServiceName) -> BTreeSet<&InstanceId> {
        let evidence = self.by_caller.get(caller).into_iter();
        let counted = evidence.flat_map(Evidence::counted_crashes);
        counted.map(|(server, _)| server).collect()
    }

    /// Returns whether the content is known to have run successfully for any caller.
    pub fn has_run_successfully(&self) -> bool {
        let mut successes = self
            .by_caller
            .values()
            .filter_map(Evidence::last_successful_run);
        successes.next().is_some()
    }

    /// Returns whether the content is proven to crash servers for at least one caller.
    pub fn is_proven(&self) -> bool {
        self.max_crashed_servers() >= PROVING_CRASHES && !self.proven_callers().is_empty()
    }

    /// Returns whether the content may have caused crashes that count against other contents:
    /// several servers crashed while running it, and it never ran successfully for any caller.
    pub fn may_explain_other_crashes(&self) -> bool {
        self.max_crashed_servers() >= MIN_SERVERS_TO_EXPLAIN
            && !self.has_run_successfully()
            && self.servers().len() >= MIN_SERVERS_TO_EXPLAIN
    }

    /// Returns an upper bound for the number of servers that crashed while running the content.
    /// Cheaper to compute than the set of these servers.
    fn max_crashed_servers(&self) -> usize {
        let callers = self.by_caller.values();
        callers.map(|evidence| evidence.crashes.len()).sum()
    }

    /// Returns the callers for which the content is proven to crash servers.
    pub fn proven_callers(&self) -> Vec<&ServiceName> {
        let callers = self.by_caller.keys();
        callers
            .filter(|caller| self.proving_crashes(caller).is_some())
            .collect()
    }

    /// Returns how much longer the content is blocked for `caller`: zero once a trial may run, and
    /// `None` if it isn't proven. `is_ambiguous` states whether other contents may be the cause.
    pub fn blocked_for(
        &self,
        caller: &ServiceName,
        now: Timestamp,
        is_ambiguous: bool,
    ) -> Option<Duration> {
        let crashes = self.proving_crashes(caller)?;
        let last = crashes.last()?;
        Some(last.remaining(block_duration(&crashes, is_ambiguous), now))
    }

    /// Returns the time since the last of the crashes that prove that the content crashes servers
    /// for `caller`; `None` if it isn't proven.
    pub fn time_since_proof(&self, caller: &ServiceName, now: Timestamp) -> Option<Duration> {
        let crashes = self.proving_crashes(caller)?;
        Some(crashes.last()?.age(now))
    }

    /// Returns whether the evidence is old enough to be forgotten.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let proofs = self
            .by_caller
            .keys()
            .filter_map(|caller| self.proving_crashes(caller));
        let longest = proofs.map(|crashes| block_duration(&crashes, false)).max();
        let retention = longest.map_or(UNPROVEN_RETENTION, |block| block + RETENTION_AFTER_BLOCK);
        let all_crashes = self.by_caller.values().flat_map(Evidence::crashes);
        let last = all_crashes.map(|(_, at)| at).max();
        last.is_none_or(|last| last.age(now) > retention)
    }

    /// Returns the crashes that prove that the content crashes servers when `caller` requests it,
    /// oldest first. The crashes of all callers count together if there are at least two callers
    /// with crashes, so that the cause can't lie in the caller, and the content ran successfully
    /// for none of them meanwhile. Otherwise each service would need its own
    /// [`PROVING_CRASHES`].
    fn proving_crashes(&self, caller: &ServiceName) -> Option<Vec<SignedTimestamp>> {
        if self.is_proven_across_callers() {
            let of_all_callers: BTreeMap<_, _> = self.counted_crashes().collect();
            return Some(sorted_oldest_first(of_all_callers.into_values()));
        }
        let of_caller = self.by_caller.get(caller)?.counted_crashes();
        let of_caller = sorted_oldest_first(of_caller.map(|(_, at)| at));
        (of_caller.len() >= PROVING_CRASHES).then_some(of_caller)
    }

    fn is_proven_across_callers(&self) -> bool {
        let callers = self.by_caller.values();
        let crashing = callers.filter(|evidence| evidence.counted_crashes().next().is_some());
        if crashing.count() < 2 || self.servers().len() < PROVING_CRASHES {
            return false;
        }
        let first = self.counted_crashes().map(|(_, at)| at).min();
        let last_success = self
            .by_caller
            .values()
            .filter_map(Evidence::last_successful_run)
            .max();
        let cleared_until = last_success.map(|success| success.plus(SUCCESS_CLEARS_CRASHES_FOR));
        first > cleared_until
    }

    fn counted_crashes(&self) -> impl Iterator<Item = (&InstanceId, SignedTimestamp)> {
        self.by_caller.values().flat_map(Evidence::counted_crashes)
    }
}

fn sorted_oldest_first(timestamps: impl Iterator<Item = SignedTimestamp>) -> Vec<SignedTimestamp> {
    let mut timestamps: Vec<SignedTimestamp> = timestamps.collect();
    timestamps.sort_unstable();
    timestamps
}

fn block_duration(crashes: &[SignedTimestamp], is_ambiguous: bool) -> Duration {
    match count_failed_trials(crashes) {
        0 if is_ambiguous => FIRST_BLOCK_IF_AMBIGUOUS,
        trials => BLOCK_DURATIONS[trials.min(BLOCK_DURATIONS.len() - 1)],
    }
}

/// Counts the admissions after which a content crashed servers again although the first of
/// `crashes` had proven it. `crashes` must be sorted.
fn count_failed_trials(crashes: &[SignedTimestamp]) -> usize {
    let pairs = crashes.windows(2).skip(PROVING_CRASHES - 1);
    pairs
        .filter(|pair| pair[1] > pair[0].plus(SAME_ADMISSION_WINDOW))
        .count()
}
