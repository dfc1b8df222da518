//! Evidence that one request content crashes servers, by calling service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};

/// Number of crashed servers, without a successful run since the first crash, that proves that a
/// content is the cause. With two, a harmless request that was running beside the cause on one
/// server and was sent again would be blocked as well.
pub const PROOF: usize = 3;
/// Number of crashed servers from which a content that never ran successfully is taken as a
/// possible cause of these crashes. One may be chance: a content that is requested only once is
/// running during at most one crash.
const EXPLAINING: usize = 2;
/// A successful run clears a content of all earlier crashes and of those within this time after
/// it. Harmless requests are running, too, when a rack of servers loses power at once, and nothing
/// runs successfully while another request crashes all servers as soon as they are back. The price:
/// if a content that ran successfully starts to crash servers, the crashes within this time are not
/// counted against it and come on top of those that prove it.
pub const GOOD_RUN_COVERS: Duration = Duration::from_secs(10);
/// Crashes that are closer together than this belong to one admission of the content: they are
/// caused by copies that were already in flight when the content was proven.
const ONE_WAVE: Duration = Duration::from_secs(10);
/// Time for which a proven content is blocked, by the number of failed trials. The first is long
/// enough for servers to restart and warm up; then one trial run is allowed, so that a wrong block
/// ends. The increasing times make trials that crash a server rare.
const BLOCKED_FOR: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Time for which a content is blocked at first if other contents may have caused most of its
/// crashes; only a trial run shows which of them is the cause. It is longer than
/// [`ONE_WAVE`] and than reports take to reach other nodes, so that a crash during
/// that run counts as a failed trial.
const DOUBTFUL_BLOCK: Duration = Duration::from_secs(12);
/// Time after its last crash at which an unproven content is forgotten. Most such contents were
/// running beside the cause by chance and are never requested again.
const SUSPECTED_FOR: Duration = Duration::from_secs(10 * 60);
/// Time after the end of its block at which a proven content without new crashes is forgotten.
const REMEMBERED_AFTER_BLOCK: Duration = Duration::from_secs(60 * 60);

/// Time on the clock of this process. It may be negative, before the start of that clock, because
/// other nodes report crashes and runs from before this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i64);

impl Moment {
    /// Returns the time `age` before `now`.
    pub fn before(now: Timestamp, age: Duration) -> Self {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        Moment((now.as_micros() as i64).saturating_sub(age))
    }

    /// Returns the time elapsed since this time; zero if it is in the future.
    pub fn age(self, now: Timestamp) -> Duration {
        let age = (now.as_micros() as i64).saturating_sub(self.0);
        Duration::from_micros(age.max(0) as u64)
    }

    /// Returns how much of `time`, counted from this time, is left at `now`; zero if
    /// it has elapsed.
    fn left_of(self, time: Duration, now: Timestamp) -> Duration {
        time.saturating_sub(self.age(now))
    }

    fn plus(self, time: Duration) -> Self {
        Moment(self.0.saturating_add(time.as_micros() as i64))
    }
}

/// Crashes during which requests with one content from one calling service were running, and the
/// last successful run of such a request.
///
/// The evidence of two nodes is merged by taking the later of each pair of times, so that the
/// result doesn't depend on the order in which reports arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    crashes: BTreeMap<InstanceId, Moment>,
    served: Option<Moment>,
}

impl Evidence {
    /// Records that `server` crashed at `at` while the content was running there. Returns true if
    /// that crash was not known.
    pub fn note_crash(&mut self, server: &InstanceId, at: Moment) -> bool {
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
    pub fn note_served(&mut self, at: Moment) {
        self.served = self.served.max(Some(at));
    }

    /// Returns the servers that crashed while running the content, each with the time of its crash.
    pub fn crashes(&self) -> impl Iterator<Item = (&InstanceId, Moment)> {
        self.crashes.iter().map(|(server, at)| (server, *at))
    }

    /// Returns when a server last ran the content successfully, if that is known.
    pub fn served(&self) -> Option<Moment> {
        self.served
    }

    /// Returns the crashes that no successful run clears the content of.
    pub fn counted(&self) -> impl Iterator<Item = (&InstanceId, Moment)> {
        let covered = self.served.map(|served| served.plus(GOOD_RUN_COVERS));
        self.crashes()
            .filter(move |(_, at)| covered.is_none_or(|covered| *at > covered))
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
        self.counted().map(|(server, _)| server).collect()
    }

    /// Returns the servers whose crashes during requests of `caller` count against the content.
    pub fn servers_of(&self, caller: &ServiceName) -> BTreeSet<&InstanceId> {
        let evidence = self.by_caller.get(caller).into_iter();
        let counted = evidence.flat_map(Evidence::counted);
        counted.map(|(server, _)| server).collect()
    }

    /// Returns whether the content is known to have run successfully for any caller.
    pub fn has_run_well(&self) -> bool {
        let mut served = self.by_caller.values().filter_map(Evidence::served);
        served.next().is_some()
    }

    /// Returns whether the content is proven to crash servers for at least one caller.
    pub fn is_proven(&self) -> bool {
        self.most_servers() >= PROOF && !self.proven_callers().is_empty()
    }

    /// Returns whether the content may have caused crashes that count against other contents:
    /// several servers crashed while running it, and it never ran successfully for any caller.
    pub fn explains_others(&self) -> bool {
        self.most_servers() >= EXPLAINING
            && !self.has_run_well()
            && self.servers().len() >= EXPLAINING
    }

    /// Returns an upper bound for the number of servers that crashed while running the content.
    /// Cheaper to compute than the set of these servers.
    fn most_servers(&self) -> usize {
        let callers = self.by_caller.values();
        callers.map(|evidence| evidence.crashes.len()).sum()
    }

    /// Returns the callers for which the content is proven to crash servers.
    pub fn proven_callers(&self) -> Vec<&ServiceName> {
        let callers = self.by_caller.keys();
        callers
            .filter(|caller| self.proof(caller).is_some())
            .collect()
    }

    /// Returns how much longer the content is blocked for `caller`: zero once a trial may run, and
    /// `None` if it isn't proven. `is_doubtful` tells whether other contents may be the cause.
    pub fn blocked_for(
        &self,
        caller: &ServiceName,
        now: Timestamp,
        is_doubtful: bool,
    ) -> Option<Duration> {
        let crashes = self.proof(caller)?;
        let last = crashes.last()?;
        Some(last.left_of(block_length(&crashes, is_doubtful), now))
    }

    /// Returns the time since the last of the crashes that prove that the content crashes servers
    /// for `caller`; `None` if it isn't proven.
    pub fn proven_for(&self, caller: &ServiceName, now: Timestamp) -> Option<Duration> {
        let crashes = self.proof(caller)?;
        Some(crashes.last()?.age(now))
    }

    /// Returns whether the evidence is old enough to be forgotten.
    pub fn is_over(&self, now: Timestamp) -> bool {
        let proofs = self
            .by_caller
            .keys()
            .filter_map(|caller| self.proof(caller));
        let longest = proofs.map(|crashes| block_length(&crashes, false)).max();
        let kept = longest.map_or(SUSPECTED_FOR, |block| block + REMEMBERED_AFTER_BLOCK);
        let all = self.by_caller.values().flat_map(Evidence::crashes);
        let last = all.map(|(_, at)| at).max();
        last.is_none_or(|last| last.age(now) > kept)
    }

    /// Returns the crashes that prove that the content crashes servers when `caller` requests it,
    /// oldest first. The crashes of all callers count together if there are at least two callers
    /// with crashes, so that the cause can't lie in the caller, and the content ran successfully
    /// for none of them meanwhile. Otherwise each service would need its own [`PROOF`] crashes.
    fn proof(&self, caller: &ServiceName) -> Option<Vec<Moment>> {
        if self.is_proven_for_all() {
            let together: BTreeMap<_, _> = self.counted().collect();
            return Some(in_order(together.into_values()));
        }
        let own = self.by_caller.get(caller)?.counted();
        let own = in_order(own.map(|(_, at)| at));
        (own.len() >= PROOF).then_some(own)
    }

    fn is_proven_for_all(&self) -> bool {
        let callers = self.by_caller.values();
        let crashing = callers.filter(|evidence| evidence.counted().next().is_some());
        if crashing.count() < 2 || self.servers().len() < PROOF {
            return false;
        }
        let first = self.counted().map(|(_, at)| at).min();
        let served = self.by_caller.values().filter_map(Evidence::served).max();
        let covered = served.map(|served| served.plus(GOOD_RUN_COVERS));
        first > covered
    }

    fn counted(&self) -> impl Iterator<Item = (&InstanceId, Moment)> {
        self.by_caller.values().flat_map(Evidence::counted)
    }
}

fn in_order(moments: impl Iterator<Item = Moment>) -> Vec<Moment> {
    let mut moments: Vec<Moment> = moments.collect();
    moments.sort_unstable();
    moments
}

fn block_length(crashes: &[Moment], is_doubtful: bool) -> Duration {
    match trials(crashes) {
        0 if is_doubtful => DOUBTFUL_BLOCK,
        trials => BLOCKED_FOR[trials.min(BLOCKED_FOR.len() - 1)],
    }
}

/// Counts the admissions after which a content crashed servers again although the first of
/// `crashes` had proven it. `crashes` must be sorted.
fn trials(crashes: &[Moment]) -> usize {
    let pairs = crashes.windows(2).skip(PROOF - 1);
    pairs
        .filter(|pair| pair[1] > pair[0].plus(ONE_WAVE))
        .count()
}
