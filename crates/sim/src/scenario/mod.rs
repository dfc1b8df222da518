//! What disturbs a mesh: load, client behaviour and a list of faults with
//! kinds, targets, sizes and times.

mod builtin;
mod entry;
mod field;
mod file;
mod resolve;

use std::time::Duration;

use lifthollow_state::Side;

use crate::mesh::{KindIndex, ServiceIndex};

pub use builtin::{builtin_names, builtin_text};
pub use file::parse_scenario;
pub use resolve::named_scenario;

/// One finding in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {message}")]
pub struct ScenarioFinding {
    /// File, and line or entry.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

/// A checked scenario for one mesh.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in results.
    pub name: String,
    /// How long clients send requests.
    pub duration: Duration,
    /// Offered load as a share of what both sides serve at best.
    pub load: f64,
    /// Weights in the first table: old side, new side.
    pub weights: [u32; 2],
    /// The disturbances.
    pub faults: Vec<Fault>,
}

/// One disturbance.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; none if it stays.
    pub lasts: Option<Duration>,
    /// What happens.
    pub kind: FaultKind,
}

/// Which servers a fault is about. Empty fields select everything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Servers of this service only.
    pub service: Option<ServiceIndex>,
    /// Machines of this side only.
    pub side: Option<Side>,
    /// Machines of this zone of their side only.
    pub zone: Option<u16>,
    /// The servers of this number in their service and side only.
    pub server: Option<u16>,
    /// The entry nodes only (they have no service).
    pub entry: bool,
}

/// A column of the table that a fault may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableColumn {
    /// Share of calls that go to the side.
    Weight,
    /// Ceiling of calls that run at once on a server.
    MaxInFlight,
    /// Ceiling of calls that wait at a server.
    MaxQueue,
}

/// What happens in a disturbance.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// Back ends work slower.
    Slow {
        /// Which.
        target: Target,
        /// How much longer their work takes.
        factor: f64,
    },
    /// Back ends answer with errors.
    Errors {
        /// Which.
        target: Target,
        /// Share of answers.
        rate: f64,
    },
    /// Demand grows.
    Surge {
        /// Of these kinds; of all if empty.
        kinds: Vec<KindIndex>,
        /// How much.
        factor: f64,
    },
    /// Clients repeat more often, sooner and without regard to `Retry-After`.
    HardRetry {
        /// Repeats after the first attempt.
        repeats: u32,
        /// Factor on the time after which a client repeats.
        timeout_factor: f64,
    },
    /// Back ends start cold.
    Cold {
        /// Which.
        target: Target,
        /// How much longer their work takes at first.
        factor: f64,
        /// Time constant of the exponential warm-up.
        warm_up: Duration,
    },
    /// Machines vanish without a word; packets to them are lost.
    Gone {
        /// Which.
        target: Target,
    },
    /// Processes end at once; connections to them are reset.
    Kill {
        /// On which machines.
        target: Target,
    },
    /// Back ends accept calls and never answer.
    Silent {
        /// Which.
        target: Target,
    },
    /// Health endpoints claim something, whatever is true.
    Health {
        /// Whose.
        target: Target,
        /// What they claim.
        healthy: bool,
    },
    /// The lifthollow processes stop running and wake up late.
    Pause {
        /// On which machines.
        target: Target,
    },
    /// Some packets between two groups of machines are lost.
    Loss {
        /// One group.
        from: Target,
        /// The other group.
        to: Target,
        /// Share of packets.
        rate: f64,
    },
    /// All packets between two groups of machines are lost.
    Cut {
        /// One group.
        from: Target,
        /// The other group.
        to: Target,
        /// Whether only packets of the first group to the other are lost.
        one_way: bool,
    },
    /// The configuration service does not answer.
    ConfigDown,
    /// The configuration service answers with the first table.
    ConfigStale,
    /// The configuration service is down, stale and well in turns.
    ConfigFlap {
        /// How long each turn lasts.
        period: Duration,
    },
    /// An operator sets cells and undoes it at the fault's end.
    Cell {
        /// Service and side of the rows.
        target: Target,
        /// The column.
        column: TableColumn,
        /// What is written.
        value: u32,
    },
    /// Operators move weights to a side in steps.
    Migrate {
        /// Of this service; of all if none.
        service: Option<ServiceIndex>,
        /// The side that gets everything in the end.
        to: Side,
        /// Number of steps over the fault's time.
        steps: u32,
    },
    /// Machines are stopped as planned one after another, and come back.
    RollingStop {
        /// Which.
        target: Target,
        /// Time from one to the next.
        interval: Duration,
        /// How long each is down.
        down: Duration,
        /// Who learns of it first.
        told: LeaveNotice,
    },
}

/// A back end that is less than this much slower counts as warm.
const WARM_EXCESS: f64 = 0.25;

/// Time constants of the warm-up until a back end counts as warm.
fn cold_time_constants(factor: f64) -> f64 {
    let excess = (factor - 1.0).max(WARM_EXCESS);
    (excess / WARM_EXCESS).ln()
}

/// Who learns first that a machine is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveNotice {
    /// The node on it, by SIGTERM.
    Node,
    /// The platform's list of machines, which lags.
    List,
}

impl Scenario {
    /// When the first disturbance begins.
    pub fn disturbance_start(&self) -> Duration {
        let starts = self.faults.iter().map(|fault| fault.at);
        starts.min().unwrap_or(self.duration / 4)
    }

    /// When the last disturbance ends; one that stays counts from its start.
    pub fn disturbance_end(&self) -> Duration {
        let ends = self.faults.iter().map(Fault::end);
        ends.max().unwrap_or(self.duration / 4)
    }
}

impl Scenario {
    /// Factors on the demand of a kind of request at a time.
    pub fn surge_factors(&self, kind: KindIndex, time: Duration) -> Vec<f64> {
        let active = self.faults.iter().filter(|fault| fault.active_at(time));
        active
            .filter_map(|fault| match &fault.kind {
                FaultKind::Surge { kinds, factor } => {
                    let concerned = kinds.is_empty() || kinds.contains(&kind);
                    concerned.then_some(*factor)
                }
                _ => None,
            })
            .collect()
    }
}

impl Fault {
    /// When it ends; its start if it stays. A cold start is over when the back
    /// ends are almost warm.
    pub fn end(&self) -> Duration {
        let lasts = match &self.kind {
            FaultKind::Cold {
                factor, warm_up, ..
            } => warm_up.mul_f64(cold_time_constants(*factor)),
            _ => self.lasts.unwrap_or(Duration::ZERO),
        };
        self.at + lasts
    }

    /// Whether it is in force at a time.
    pub fn active_at(&self, time: Duration) -> bool {
        let ended = self.lasts.is_some_and(|lasts| time >= self.at + lasts);
        time >= self.at && !ended
    }
}
