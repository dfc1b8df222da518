//! The control thread, which alone owns the state of the node's decisions.
//!
//! Events come in over one channel; effects go out to the tasks that carry
//! them out. Its only I/O is sending datagrams, and it waits for nothing but its
//! channel.

mod input;
mod router;
mod snapshot;
mod thread;

pub use input::{AttemptEffect, ControlHandle, ControlInput};
pub use snapshot::SharedState;
pub use thread::{ControlParts, ControlThread};
