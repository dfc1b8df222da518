//! The fault switch of a back end.

use serde::{Deserialize, Serialize};

/// What the test operator makes a back end do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFault {
    /// Service times are multiplied by this.
    pub slow_factor: f64,
    /// Share of runs that answer with an error.
    pub error_ratio: f64,
    /// Accepts calls and never answers them.
    pub hang: bool,
    /// Answers are cut off in the middle, after the run.
    pub cut_ratio: f64,
    /// Starts no new work and reports itself unhealthy.
    pub draining: bool,
}

impl Default for BackendFault {
    fn default() -> Self {
        BackendFault {
            slow_factor: 1.0,
            error_ratio: 0.0,
            hang: false,
            cut_ratio: 0.0,
            draining: false,
        }
    }
}
