//! Faults that a test can inject into a back end.

use serde::{Deserialize, Serialize};

/// Faults injected into a back end through `PUT /fault` on its control port.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFault {
    /// Factor by which service times are multiplied.
    pub slow_factor: f64,
    /// Probability that an executed call is answered with an error, from 0 to 1.
    pub error_ratio: f64,
    /// Whether the back end accepts calls and never answers them.
    pub hang: bool,
    /// Probability that a response is truncated in the middle after its call was executed, from 0
    /// to 1.
    pub cut_ratio: f64,
    /// Whether the back end sheds all new calls and reports itself unhealthy.
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
