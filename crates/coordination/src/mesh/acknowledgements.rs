//! Tells a peer that is gone from one that is slow to read.
//!
//! Both leave bytes unread, and a system that waits for the window of a slow reader to open sends
//! probes as it does to one that is gone. But the system of a slow reader answers them: a peer is gone
//! if nothing it was sent has been acknowledged for a while. How long its process reads nothing says
//! nothing of it.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// Number of reports in a row without anything outstanding after which a connection needs no more. The
/// first may be made after the peer's window closed and before it is probed.
const SETTLED_REPORTS: u32 = 2;

/// What the system reports of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgementReport {
    /// Whether bytes or probes that were sent are not acknowledged.
    pub is_unacknowledged: bool,
    /// Whether the system is sending again or probing, at growing intervals.
    pub is_repeating: bool,
    /// Time since the peer last acknowledged anything.
    pub last_acknowledged: Duration,
}

/// What follows from the reports on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStanding {
    /// All bytes are acknowledged; no report is needed until more are written.
    Settled,
    /// The peer may still have bytes to acknowledge.
    Outstanding,
    /// The peer has acknowledged nothing for too long.
    Gone,
}

/// The reports on one connection.
#[derive(Clone, Copy, Debug)]
pub struct AcknowledgementWatch {
    limit: Duration,
    /// Since when something has been outstanding without any acknowledgement, as far as reported.
    unacknowledged_since: Option<Timestamp>,
    settled_reports: u32,
}

impl AcknowledgementWatch {
    /// Creates a watch of a connection whose peer is gone if it acknowledges nothing for `limit`.
    pub fn new(limit: Duration) -> Self {
        AcknowledgementWatch {
            limit,
            unacknowledged_since: None,
            settled_reports: 0,
        }
    }

    /// Records that bytes were written to the connection.
    pub fn record_written(&mut self) {
        self.settled_reports = 0;
    }

    /// Records what the system reports at `now`.
    pub fn record(&mut self, now: Timestamp, report: AcknowledgementReport) -> PeerStanding {
        if !report.is_unacknowledged {
            self.unacknowledged_since = None;
            self.settled_reports += 1;
            let is_settled = !report.is_repeating && self.settled_reports >= SETTLED_REPORTS;
            return match is_settled {
                true => PeerStanding::Settled,
                false => PeerStanding::Outstanding,
            };
        }
        self.settled_reports = 0;
        let acknowledged_at = now.saturating_sub(report.last_acknowledged);
        let since = self
            .unacknowledged_since
            .filter(|since| acknowledged_at <= *since);
        let since = *self.unacknowledged_since.insert(since.unwrap_or(now));
        match now.saturating_since(since) >= self.limit {
            true => PeerStanding::Gone,
            false => PeerStanding::Outstanding,
        }
    }
}
