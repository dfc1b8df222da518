//! What each node spends, second by second.

use std::time::Duration;

use hdrhistogram::Histogram;
use lifthollow_protocol::control::DATAGRAM_HEADER_BYTES;
use lifthollow_state::Timestamp;
use rustix::time::{ClockId, clock_gettime};

use super::setup::WARM_UP;

/// Processor time is measured on one node in so many, because reading the clock
/// costs about as much as handling a message.
const MEASURED_ONE_IN: usize = 16;
const SIGNIFICANT_DIGITS: u8 = 3;
const P99: f64 = 0.99;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// One node's second in progress.
#[derive(Clone, Copy, Default)]
struct Second {
    number: u64,
    bytes: u64,
    messages: u64,
    cpu: Duration,
}

/// Samples of all nodes' seconds after the warm-up.
pub struct Usage {
    seconds: Vec<Second>,
    bytes: Histogram<u64>,
    messages: Histogram<u64>,
    cpu_nanos: Histogram<u64>,
}

impl Usage {
    /// Nothing was spent yet.
    pub fn new(nodes: usize) -> Self {
        Usage {
            seconds: vec![Second::default(); nodes],
            bytes: histogram(),
            messages: histogram(),
            cpu_nanos: histogram(),
        }
    }

    /// A node sent or received a datagram.
    pub fn datagram(&mut self, now: Timestamp, index: usize, length: usize) {
        let second = self.second(now, index);
        second.bytes += (length + DATAGRAM_HEADER_BYTES) as u64;
        second.messages += 1;
    }

    /// Whether the node's processor time is measured.
    pub fn is_measured(index: usize) -> bool {
        index.is_multiple_of(MEASURED_ONE_IN)
    }

    /// A measured node spent processor time.
    pub fn cpu(&mut self, now: Timestamp, index: usize, spent: Duration) {
        self.second(now, index).cpu += spent;
    }

    fn second(&mut self, now: Timestamp, index: usize) -> &mut Second {
        let number = now.as_micros() / MICROS_PER_SECOND;
        if self.seconds[index].number != number {
            self.close(index);
            self.seconds[index].number = number;
        }
        &mut self.seconds[index]
    }

    fn close(&mut self, index: usize) {
        let second = std::mem::take(&mut self.seconds[index]);
        if second.number < WARM_UP.as_secs() {
            return;
        }
        self.bytes.saturating_record(second.bytes);
        self.messages.saturating_record(second.messages);
        if Usage::is_measured(index) {
            let nanos = second.cpu.as_nanos() as u64;
            self.cpu_nanos.saturating_record(nanos);
        }
    }

    /// Bytes a second: 99th percentile, mean and maximum.
    pub fn bytes(&self) -> (u64, f64, u64) {
        let bytes = &self.bytes;
        (bytes.value_at_quantile(P99), bytes.mean(), bytes.max())
    }

    /// 99th percentile of datagrams a second.
    pub fn messages_p99(&self) -> u64 {
        self.messages.value_at_quantile(P99)
    }

    /// Share of a core: 99th percentile and mean.
    pub fn cpu_fraction(&self) -> (f64, f64) {
        const NANOS: f64 = 1e9;
        let p99 = self.cpu_nanos.value_at_quantile(P99) as f64 / NANOS;
        (p99, self.cpu_nanos.mean() / NANOS)
    }
}

fn histogram() -> Histogram<u64> {
    const HIGHEST: u64 = 10_000_000_000;
    Histogram::new_with_bounds(1, HIGHEST, SIGNIFICANT_DIGITS).expect("constant bounds are valid")
}

/// Processor time of the calling thread.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
