//! The evidence against one content, by the service of its callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};

/// Crashes of so many servers, without a good run since the first, prove that a content
/// is their cause. With two, a request that shared one server with the cause and was
/// sent again would be blocked as well.
pub const PROOF: usize = 3;
/// Two crashes of a content that never ran well explain each other; one may be chance, as what
/// is asked once only is aboard of one crash at most.
const EXPLAINING: usize = 2;
/// A good run counts against all crashes before it, and those of this time after it: what
/// runs well everywhere is also aboard when a rack of servers loses power at once, and while
/// another request crashes all servers as soon as they are back nothing runs well. A request
/// that ran well and crashes servers from some moment on costs those of this time more.
pub const GOOD_RUN_COVERS: Duration = Duration::from_secs(10);
/// Crashes that are closer together than this come of one time at which the content was let
/// run: of copies that were under way when it was proven.
const ONE_WAVE: Duration = Duration::from_secs(10);
/// How long a proven content is blocked, by the times at which it was let run. The first is
/// long enough for servers to be back and warm; then one run is tried, so that a wrong
/// block ends. Trials that crash their server become rare.
const BLOCKED_FOR: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How long a content is blocked at first if others may have caused most of its crashes. Only a
/// run tells which of them is the cause. Longer than [`ONE_WAVE`] and than news takes, so that a
/// crash under that run counts as a trial's.
const DOUBTFUL_BLOCK: Duration = Duration::from_secs(12);
/// What is not proven is forgotten after this time: most of it shared a server with the
/// cause and never comes again.
const SUSPECTED_FOR: Duration = Duration::from_secs(10 * 60);
/// A proven content that doesn't come any more is forgotten this long after its block.
const REMEMBERED_AFTER_BLOCK: Duration = Duration::from_secs(60 * 60);

/// A moment on the clock of this process; it may lie before the start of that clock,
/// as other nodes tell of what was before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i64);

impl Moment {
    /// So long before `now`.
    pub fn before(now: Timestamp, age: Duration) -> Self {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        Moment((now.as_micros() as i64).saturating_sub(age))
    }

    /// The time since this moment; zero if it is to come.
    pub fn age(self, now: Timestamp) -> Duration {
        let age = (now.as_micros() as i64).saturating_sub(self.0);
        Duration::from_micros(age.max(0) as u64)
    }

    /// The time until `time` after this moment has passed; zero if it has.
    fn left_of(self, time: Duration, now: Timestamp) -> Duration {
        time.saturating_sub(self.age(now))
    }

    fn plus(self, time: Duration) -> Self {
        Moment(self.0.saturating_add(time.as_micros() as i64))
    }
}

/// The crashes that a content was aboard of with requests of one service's machines,
/// and when such a request was last run well.
///
/// Two nodes' knowledge is joined by taking the later of each moment, so that the
/// order in which news arrives makes no difference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    crashes: BTreeMap<InstanceId, Moment>,
    served: Option<Moment>,
}

impl Evidence {
    /// It was aboard when `server` crashed at `at`. True if that is news.
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

    /// A server ran it well at `at`.
    pub fn note_served(&mut self, at: Moment) {
        self.served = self.served.max(Some(at));
    }

    /// The servers that crashed with it aboard, each with the moment.
    pub fn crashes(&self) -> impl Iterator<Item = (&InstanceId, Moment)> {
        self.crashes.iter().map(|(server, at)| (server, *at))
    }

    /// When a server last ran it well, if that is known.
    pub fn served(&self) -> Option<Moment> {
        self.served
    }

    /// The crashes that no good run speaks against.
    pub fn counted(&self) -> impl Iterator<Item = (&InstanceId, Moment)> {
        let covered = self.served.map(|served| served.plus(GOOD_RUN_COVERS));
        self.crashes()
            .filter(move |(_, at)| covered.is_none_or(|covered| *at > covered))
    }
}

/// All that is known of a content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    by_caller: BTreeMap<ServiceName, Evidence>,
}

impl Suspicion {
    /// What is known of it for requests of `caller`'s machines.
    pub fn evidence_mut(&mut self, caller: &ServiceName) -> &mut Evidence {
        self.by_caller.entry(caller.clone()).or_default()
    }

    /// What is known of it, by caller.
    pub fn evidence(&self) -> impl Iterator<Item = (&ServiceName, &Evidence)> {
        self.by_caller.iter()
    }

    /// The servers whose crashes speak against it, whoever called.
    pub fn servers(&self) -> BTreeSet<&InstanceId> {
        self.counted().map(|(server, _)| server).collect()
    }

    /// The servers whose crashes under requests of `caller`'s machines speak against it.
    pub fn servers_of(&self, caller: &ServiceName) -> BTreeSet<&InstanceId> {
        let evidence = self.by_caller.get(caller).into_iter();
        let counted = evidence.flat_map(Evidence::counted);
        counted.map(|(server, _)| server).collect()
    }

    /// Whether it is known to have run well, whoever called.
    pub fn has_run_well(&self) -> bool {
        let mut served = self.by_caller.values().filter_map(Evidence::served);
        served.next().is_some()
    }

    /// Whether requests of any caller are proven to crash servers.
    pub fn is_proven(&self) -> bool {
        self.most_servers() >= PROOF && !self.proven_callers().is_empty()
    }

    /// Whether it may be the cause of crashes with other contents aboard: it crashed several
    /// servers and never ran well for anybody.
    pub fn explains_others(&self) -> bool {
        self.most_servers() >= EXPLAINING
            && !self.has_run_well()
            && self.servers().len() >= EXPLAINING
    }

    /// No more servers than these crashed with it aboard. Costs less than to look which.
    fn most_servers(&self) -> usize {
        let callers = self.by_caller.values();
        callers.map(|evidence| evidence.crashes.len()).sum()
    }

    /// The callers whose requests are proven to crash servers.
    pub fn proven_callers(&self) -> Vec<&ServiceName> {
        let callers = self.by_caller.keys();
        callers
            .filter(|caller| self.proof(caller).is_some())
            .collect()
    }

    /// How long it is still blocked for requests of `caller`'s machines; zero once it may be
    /// tried, and none if it isn't proven. `is_doubtful` if other contents may be the cause.
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

    /// The time since the last of the crashes that prove it for requests of `caller`'s
    /// machines; none if it isn't proven.
    pub fn proven_for(&self, caller: &ServiceName, now: Timestamp) -> Option<Duration> {
        let crashes = self.proof(caller)?;
        Some(crashes.last()?.age(now))
    }

    /// Whether it can be forgotten.
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

    /// The crashes that prove that it crashes servers when `caller`'s machines ask for it,
    /// oldest first. Those of all callers count together if they are of two at least, so that
    /// the caller can't be what matters, and it ran well for none meanwhile. Otherwise the machines
    /// of each service cost as many crashes again.
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

/// The times at which a content crashed servers after it had been proven by the first of
/// these crashes, which are in order.
fn trials(crashes: &[Moment]) -> usize {
    let pairs = crashes.windows(2).skip(PROOF - 1);
    pairs
        .filter(|pair| pair[1] > pair[0].plus(ONE_WAVE))
        .count()
}
