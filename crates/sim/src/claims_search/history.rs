//! A history: calls, repeats and faults in order of time, made up by
//! `quickcheck` and shrunk by it.

use std::fmt;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};

/// Nodes of the small fleet. The first [`ROSTER_SIZE`] are replicas at first.
pub const NODES: u8 = 7;
/// Members of the roster at any time.
pub const ROSTER_SIZE: u8 = 5;

const KEYS: u8 = 2;
const MAX_STEPS: usize = 28;
/// Largest clock error, in tenths of a percent.
const MAX_DRIFT_PERMILLE: i8 = 10;
/// Pauses between steps are of one of these scales, in milliseconds.
const DELAY_SCALES_MILLIS: [u32; 5] = [3, 40, 700, 3_000, 26_000];
/// Processes stand still for times up to one of these, in milliseconds.
const PAUSE_SCALES_MILLIS: [u32; 3] = [3_000, 30_000, 60_000];
const MAX_RUN_MILLIS: u32 = 300;
const MAX_LOSS_PERCENT: u8 = 60;

/// What the back end does with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backend {
    /// It runs the call and answers.
    Answers,
    /// It runs the call and the answer is lost.
    LosesAnswer,
    /// It sheds the call before running it.
    Sheds,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A call, or a repeat of one, arrives at a node.
    Call {
        /// The node.
        node: u8,
        /// Which key it carries.
        key: u8,
        /// Which body it carries.
        body: u8,
        /// What the back end does, should it be run.
        backend: Backend,
        /// How long a run takes, in milliseconds.
        run_millis: u32,
    },
    /// The processes of all nodes in the mask are replaced at once.
    Replace {
        /// One bit for each node.
        nodes: u8,
    },
    /// A planned stop of a process is announced.
    Leave {
        /// The node.
        node: u8,
    },
    /// A process stands still.
    Pause {
        /// The node.
        node: u8,
        /// How long, in milliseconds.
        millis: u32,
    },
    /// The nodes in the mask and all others lose contact.
    Cut {
        /// One bit for each node.
        nodes: u8,
        /// Only messages from the nodes in the mask are lost.
        one_way: bool,
    },
    /// The cut ends, and no message is lost or delayed any more.
    Heal,
    /// From now on messages are lost, delayed by seconds, and doubled.
    Disturb {
        /// Share of messages lost, in percent; a tenth of it are delayed and a
        /// tenth of it doubled.
        percent: u8,
    },
    /// Operators hand the next roster to one node.
    ChangeRoster {
        /// The node.
        node: u8,
    },
}

/// An action and the time since the one before.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the step before, in milliseconds.
    pub after_millis: u32,
    /// What happens.
    pub action: Action,
}

/// One history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// Error of each node's clock, in tenths of a percent.
    pub drift_permille: [i8; NODES as usize],
    /// Seed of message delays and losses.
    pub seed: u64,
    /// What happens.
    pub steps: Vec<Step>,
}

impl Step {
    /// Time since the step before.
    pub fn after(&self) -> Duration {
        Duration::from_millis(u64::from(self.after_millis))
    }
}

impl fmt::Debug for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "+{} ms {:?}", self.after_millis, self.action)
    }
}

fn below(source: &mut Gen, bound: u32) -> u32 {
    u32::arbitrary(source) % bound
}

/// Half of all choices fall on two nodes, so that what happens concerns the same
/// calls more often.
fn node(source: &mut Gen) -> u8 {
    let choices = if bool::arbitrary(source) { 2 } else { NODES };
    below(source, u32::from(choices)) as u8
}

fn mask(source: &mut Gen) -> u8 {
    let all = (1_u8 << NODES) - 1;
    match below(source, 4) {
        0 => all,
        1 => 1 << node(source),
        2 => (1 << node(source)) | (1 << node(source)),
        _ => u8::arbitrary(source) & all,
    }
}

fn backend(source: &mut Gen) -> Backend {
    match below(source, 6) {
        0 => Backend::LosesAnswer,
        1 => Backend::Sheds,
        _ => Backend::Answers,
    }
}

fn call(source: &mut Gen) -> Action {
    let is_other_body = below(source, 12) == 0;
    Action::Call {
        node: node(source),
        key: below(source, u32::from(KEYS)) as u8,
        body: u8::from(is_other_body),
        backend: backend(source),
        run_millis: 1 + below(source, MAX_RUN_MILLIS),
    }
}

fn pause(source: &mut Gen) -> Action {
    let scale = source.choose(&PAUSE_SCALES_MILLIS).copied().unwrap_or(1);
    Action::Pause {
        node: node(source),
        millis: 1 + below(source, scale),
    }
}

impl Arbitrary for Action {
    fn arbitrary(source: &mut Gen) -> Self {
        match below(source, 22) {
            0..=8 => call(source),
            9..=11 => Action::Replace {
                nodes: mask(source),
            },
            12..=14 => pause(source),
            15 => Action::Cut {
                nodes: mask(source),
                one_way: bool::arbitrary(source),
            },
            16 | 17 => Action::Heal,
            19 | 20 => Action::Leave { node: node(source) },
            18 => Action::Disturb {
                percent: below(source, u32::from(MAX_LOSS_PERCENT)) as u8,
            },
            _ => Action::ChangeRoster { node: node(source) },
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let scale = source.choose(&DELAY_SCALES_MILLIS).copied().unwrap_or(1);
        Step {
            after_millis: below(source, scale),
            action: Action::arbitrary(source),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let step = *self;
        let sooner = self.after_millis.shrink().map(move |after_millis| Step {
            after_millis,
            ..step
        });
        Box::new(sooner)
    }
}

impl Arbitrary for History {
    fn arbitrary(source: &mut Gen) -> Self {
        let count = 1 + below(source, MAX_STEPS as u32);
        let drift = |source: &mut Gen| match below(source, 3) {
            0 => -MAX_DRIFT_PERMILLE,
            1 => 0,
            _ => MAX_DRIFT_PERMILLE,
        };
        History {
            drift_permille: std::array::from_fn(|_| drift(source)),
            seed: u64::arbitrary(source),
            steps: (0..count).map(|_| Step::arbitrary(source)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let exact = History {
            drift_permille: [0; NODES as usize],
            ..self.clone()
        };
        let is_inexact = exact != *self;
        let shorter = self.steps.shrink().map(move |steps| History {
            steps,
            ..whole.clone()
        });
        Box::new(is_inexact.then_some(exact).into_iter().chain(shorter))
    }
}
