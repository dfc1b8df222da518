//! A hash over every event delivered.

use lifthollow_state::Timestamp;
use xxhash_rust::xxh3::Xxh3;

use super::event::WorldEvent;

/// The running hash.
#[derive(Default)]
pub struct TraceHash {
    hasher: Xxh3,
}

impl TraceHash {
    /// Takes in an event and its time.
    pub fn add(&mut self, now: Timestamp, event: &WorldEvent) {
        self.hasher.update(&now.as_micros().to_le_bytes());
        for number in event.fingerprint() {
            self.hasher.update(&number.to_le_bytes());
        }
    }

    /// The hash as 16 hexadecimal digits.
    pub fn digest(&self) -> String {
        format!("{:016x}", self.hasher.digest())
    }
}
