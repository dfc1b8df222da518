//! The control thread: the only owner of the node's decisions.
//!
//! Events come in over one channel; effects go out to the tasks that carry
//! them out. The thread does no I/O but to send datagrams, and never waits for
//! anything but its channel.

mod input;
mod router;
mod snapshot;
mod thread;

pub use input::{AttemptEffect, ControlHandle, ControlInput};
pub use snapshot::SharedState;
pub use thread::{ControlParts, ControlThread};
