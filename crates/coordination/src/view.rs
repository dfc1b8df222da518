//! The fleet state that a node's policies base their decisions on.

use std::sync::Arc;

use lifthollow_state::{Directory, Table};

/// The table in force and the servers known to a node, passed to every policy.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The table in force on this node.
    pub table: Arc<Table>,
    /// The servers that this node knows.
    pub directory: Arc<Directory>,
}
