//! The command line of `lifthollowctl`.

use argh::FromArgs;

/// Operators' client of lifthollow: checks, compares and edits tables, and queries
/// the state of running nodes.
///
/// Tables are local files; the platform publishes new versions.
#[derive(FromArgs, Debug)]
#[argh(
    example = "Move a tenth of the feeds from the old data centre to the new one:\n  \
               {command_name} table set table.csv feeds@old weight 90 feeds@new weight 10",
    error_code(0, "done; for `table diff`, the rows are the same"),
    error_code(1, "`table diff` found differences"),
    error_code(2, "the arguments or a table have faults; nothing was changed"),
    error_code(3, "a node could not be reached, or refused the request"),
    error_code(4, "a file could not be read or written")
)]
pub struct Arguments {
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The command to run.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Check, compare and edit table files.
    Table(TableCommand),
    /// Show a summary of a node's state.
    Status(StatusCommand),
    /// Show why a node refused calls.
    Explain(ExplainCommand),
    /// List the nodes that a node knows.
    Members(MembersCommand),
    /// Show whether a node is leaving, and which servers it knows to be.
    Leaving(LeavingCommand),
    /// Show a node's record of an idempotency key.
    Claim(ClaimCommand),
    /// Write a node's state to a file.
    Snapshot(SnapshotCommand),
    /// Count why requests were not served, from nodes' logs.
    Causes(CausesCommand),
}

/// Count, over the logs of any number of nodes, why requests were not served: for
/// each service, the outcome given to callers and the cause, the most frequent first,
/// with the first, the last and the busiest second.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "causes",
    example = "All nodes of a site:\n  {command_name} logs/*"
)]
pub struct CausesCommand {
    /// log files, JSON lines; `-` is standard input
    #[argh(positional)]
    pub files: Vec<String>,
    /// only the request whose request ID begins with this text, with its nested calls
    #[argh(option)]
    pub request: Option<String>,
}

/// Show a summary of a node: its table, its load, and its calls in progress.
///
/// With --all, also the table in force on every node it knows, as of the last message
/// from that node; nodes with an older table come first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// the node's operators' address, IP:PORT
    #[argh(positional)]
    pub address: String,
    /// list the table in force on all nodes that it knows
    #[argh(switch)]
    pub all: bool,
}

/// Show why a node refused calls recently: how often for each reason, what the
/// reason means and where to look, and the newest refusals with the state that
/// led to them. Each node records only its own refusals: query both the entry node
/// and the node of the back end.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// the node's operators' address, IP:PORT
    #[argh(positional)]
    pub address: String,
    /// only calls of this service
    #[argh(option)]
    pub service: Option<String>,
    /// only calls of this request: the client's name for it (lifthollow-request)
    /// or 32 hexadecimal digits
    #[argh(option)]
    pub request: Option<String>,
}

/// List the nodes that a node knows, each with its state and the reason for it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "members")]
pub struct MembersCommand {
    /// the node's operators' address, IP:PORT
    #[argh(positional)]
    pub address: String,
}

/// Show whether a node is leaving and its calls and attempts still in progress, and
/// which servers it knows to be leaving.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "leaving")]
pub struct LeavingCommand {
    /// the node's operators' address, IP:PORT
    #[argh(positional)]
    pub address: String,
}

/// Show a node's record of an idempotency key: which nodes are its replicas, and if
/// this node is one, which node claimed the key and how the run ended.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "claim")]
pub struct ClaimCommand {
    /// the node's operators' address, IP:PORT
    #[argh(positional)]
    pub address: String,
    /// the service that was called
    #[argh(positional)]
    pub service: String,
    /// the key as the caller sent it in the header `idempotency-key`
    #[argh(positional)]
    pub key: String,
}

/// Write a node's state to a new file (JSON), for a bug report.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "snapshot")]
pub struct SnapshotCommand {
    /// the node's operators' address, IP:PORT
    #[argh(positional)]
    pub address: String,
    /// the file to write; it must not exist yet
    #[argh(option, arg_name = "file")]
    pub out: String,
}

/// Check, compare and edit table files.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "table")]
pub struct TableCommand {
    /// the command on table files
    #[argh(subcommand)]
    pub action: TableAction,
}

/// A command on table files.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TableAction {
    /// Check a table file.
    Check(TableCheck),
    /// Compare two table files.
    Diff(TableDiff),
    /// Change cells of a table file.
    Set(TableSet),
}

/// Check a table in full and print every finding as FILE:ROW:COLUMN: MESSAGE.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct TableCheck {
    /// the table (CSV)
    #[argh(positional)]
    pub file: String,
}

/// Compare two tables: `+` is a row that only B has, `-` a row that only A has,
/// `~` a cell that differs, with its text in A and in B.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct TableDiff {
    /// the earlier table (CSV)
    #[argh(positional)]
    pub a: String,
    /// the later table (CSV)
    #[argh(positional)]
    pub b: String,
}

/// Make the next version of a table: raise its number by one and change one cell,
/// or several cells by further SERVICE@SIDE COLUMN VALUE.
///
/// The file is checked in full before and after the change and is replaced in one
/// step, so that a reader sees the whole old version or the whole new one. Other
/// rows stay as they are. Concurrent edits of one file run one after the other.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "set",
    example = "Tighten a limit:\n  {command_name} table.csv top-up@old max_in_flight 6",
    example = "Move weight in one version:\n  {command_name} table.csv feeds@old weight 80 \
               feeds@new weight 20"
)]
pub struct TableSet {
    /// the table (CSV)
    #[argh(positional)]
    pub file: String,
    /// cells as SERVICE@SIDE COLUMN VALUE; the columns are weight, max_in_flight,
    /// max_queue, max_connections, class, repeatable and deadline_ms
    #[argh(positional, arg_name = "service@side column value")]
    pub cells: Vec<String>,
}
