//! Operators who change the roster by the rules of the operators' page.

use std::time::Duration;

use lifthollow_state::Timestamp;

use super::fleet::{FIRST_EPOCH, LIFETIME, START_WINDOW};

/// Operators wait this long between the steps of a change, in true time: the
/// retention, with the drift of the clocks.
const STEP_INTERVAL: Duration =
    Duration::from_millis((LIFETIME.as_millis() + START_WINDOW.as_millis()) as u64 * 105 / 100);

/// Knows which roster is published.
#[derive(Debug)]
pub struct Operator {
    epoch: u32,
    everywhere_since: Option<Timestamp>,
    starts: u32,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            epoch: FIRST_EPOCH,
            everywhere_since: Some(Timestamp::ZERO),
            starts: 0,
        }
    }
}

impl Operator {
    /// The roster in the settings of a new process. Settings may be older by one
    /// step while that step is not in force everywhere.
    pub fn epoch_for_new_process(&mut self) -> u32 {
        self.starts += 1;
        let is_stale = self.starts.is_multiple_of(3) && self.everywhere_since.is_none();
        if is_stale { self.epoch - 1 } else { self.epoch }
    }

    /// The next roster, if the one before has been in force everywhere for long
    /// enough; otherwise the one before again.
    pub fn next_roster(
        &mut self,
        now: Timestamp,
        epochs: impl Iterator<Item = u32>,
    ) -> Option<u32> {
        let is_everywhere = epochs.min() == Some(self.epoch);
        match self.everywhere_since {
            None if is_everywhere => self.everywhere_since = Some(now),
            Some(since) if is_everywhere && now - since >= STEP_INTERVAL => {
                self.epoch += 1;
                self.everywhere_since = None;
            }
            _ => {}
        }
        Some(self.epoch)
    }
}
