//! Forwards received control messages to the control thread.

use std::sync::Arc;

use lifthollow_coordination::fleet::FleetEvent;
use lifthollow_transport::datagram::{DatagramReceiver, Received};

use crate::control::ControlHandle;
use crate::operators::Metrics;

/// Receives control datagrams as long as the process runs.
pub async fn receive_datagrams(
    receiver: DatagramReceiver,
    control: ControlHandle,
    metrics: Arc<Metrics>,
) {
    loop {
        match receiver.receive().await {
            Ok(Received::Message { from, message }) => {
                metrics.datagram_received(true);
                control.fleet(FleetEvent::Message { from, message });
            }
            Ok(Received::Malformed { .. }) => metrics.datagram_received(false),
            // The error reports that an earlier datagram reached a closed port; the
            // socket itself still works.
            Err(_) => {}
        }
    }
}
