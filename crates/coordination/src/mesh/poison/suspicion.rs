//! The evidence against one content.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;

/// Crashes of so many servers, without a good run since the first, prove that a content
/// is their cause. With two, a request that shared one server with the cause and was
/// sent again would be blocked as well.
pub const PROOF: usize = 3;
/// A good run counts against crashes from so long before it was told, and later: what
/// runs well everywhere is also aboard when a rack of servers loses power at once.
const GOOD_RUN_COVERS: Duration = Duration::from_secs(1);
/// Crashes that are closer together than this come of one time at which the content was let
/// run: of copies that were under way when it was proven.
const ONE_WAVE: Duration = Duration::from_secs(10);
/// How long a proven content is blocked, by the times at which it was let run. The first is
/// long enough for servers to be back and warm; then one run is tried, so that a wrong
/// block ends. Trials that crash their server become rare: three in the first 66 minutes.
const BLOCKED_FOR: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
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

/// The crashes that a content was aboard of, and when it was last run well.
///
/// Two nodes' knowledge is joined by taking the later of each moment, so that the
/// order in which news arrives makes no difference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    crashes: BTreeMap<InstanceId, Moment>,
    served: Option<Moment>,
}

impl Suspicion {
    /// The content was aboard when `server` crashed at `at`. True if that is news.
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

    /// A server ran the content well at `at`. True if that clears it of a crash.
    pub fn note_served(&mut self, at: Moment) -> bool {
        let before = self.counted();
        self.served = self.served.max(Some(at));
        self.counted() < before
    }

    /// The crashes that no good run speaks against.
    pub fn counted(&self) -> usize {
        self.counted_crashes().count()
    }

    /// The servers that crashed with the content aboard, each with the moment.
    pub fn crashes(&self) -> impl Iterator<Item = (&InstanceId, Moment)> {
        self.crashes.iter().map(|(server, at)| (server, *at))
    }

    /// When a server last ran it well, if that is known.
    pub fn served(&self) -> Option<Moment> {
        self.served
    }

    /// Whether the content is proven to crash servers.
    pub fn is_proven(&self) -> bool {
        self.counted() >= PROOF
    }

    /// How long a proven content is still blocked; zero once it may be tried.
    pub fn blocked_for(&self, now: Timestamp) -> Duration {
        let last = self.counted_crashes().max();
        last.map_or(Duration::ZERO, |last| {
            last.left_of(self.block_length(), now)
        })
    }

    /// Whether it can be forgotten.
    pub fn is_over(&self, now: Timestamp) -> bool {
        let kept = match self.is_proven() {
            true => self.block_length() + REMEMBERED_AFTER_BLOCK,
            false => SUSPECTED_FOR,
        };
        let last = self.crashes.values().max();
        last.is_none_or(|last| last.age(now) > kept)
    }

    fn block_length(&self) -> Duration {
        BLOCKED_FOR[self.trials().min(BLOCKED_FOR.len() - 1)]
    }

    /// The times at which the content crashed servers after it had been proven.
    fn trials(&self) -> usize {
        let mut crashes: Vec<Moment> = self.counted_crashes().collect();
        crashes.sort_unstable();
        let Some(first) = crashes.get(PROOF - 1) else {
            return 0;
        };
        let mut last = *first;
        let mut trials = 0;
        for at in crashes.into_iter().skip(PROOF) {
            if at > last.plus(ONE_WAVE) {
                trials += 1;
            }
            last = at;
        }
        trials
    }

    fn counted_crashes(&self) -> impl Iterator<Item = Moment> {
        let covered = self.served.map(|served| served.plus(GOOD_RUN_COVERS));
        let crashes = self.crashes.values().copied();
        crashes.filter(move |at| covered.is_none_or(|covered| *at > covered))
    }
}
