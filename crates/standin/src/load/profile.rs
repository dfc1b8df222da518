//! Load profiles: request rates over time.

use std::str::FromStr;

/// A period of a load profile with a constant request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// Duration of the phase in seconds.
    pub seconds: f64,
    /// Request rate of the phase in requests per second.
    pub rate: f64,
}

/// Load profile as a sequence of phases in the order in which they take place.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile(pub Vec<Phase>);

/// Maximum total duration of a profile in seconds, so that every load process ends.
const MAX_SECONDS: f64 = 600.0;

impl Profile {
    /// Returns the request rate `elapsed` seconds after the start of the profile, or `None` after
    /// its end.
    pub fn rate_at(&self, elapsed: f64) -> Option<f64> {
        let mut end = 0.0;
        for phase in &self.0 {
            end += phase.seconds;
            if elapsed < end {
                return Some(phase.rate);
            }
        }
        None
    }
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let phases: Vec<Phase> = text.split(',').map(parse_phase).collect::<Result<_, _>>()?;
        let total: f64 = phases.iter().map(|phase| phase.seconds).sum();
        if total > MAX_SECONDS {
            return Err(format!("a profile lasts at most {MAX_SECONDS} seconds"));
        }
        Ok(Profile(phases))
    }
}

fn parse_phase(text: &str) -> Result<Phase, String> {
    let malformed = || format!("`{text}` is not `seconds:rate` with positive numbers");
    let (seconds, rate) = text.split_once(':').ok_or_else(malformed)?;
    let seconds: f64 = seconds.parse().map_err(|_| malformed())?;
    let rate: f64 = rate.parse().map_err(|_| malformed())?;
    if seconds > 0.0 && rate > 0.0 {
        Ok(Phase { seconds, rate })
    } else {
        Err(malformed())
    }
}
