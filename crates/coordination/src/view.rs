//! What a node knows of the fleet when it decides.

use std::sync::Arc;

use lifthollow_state::{Directory, Table};

/// The table in force and the servers known, as handed to every decision.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The table in force on this node.
    pub table: Arc<Table>,
    /// The servers this node knows.
    pub directory: Arc<Directory>,
}
