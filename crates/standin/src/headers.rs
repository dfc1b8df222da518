//! Names of the HTTP headers between callers, nodes and back ends.

/// Name of the called service.
pub const SERVICE: &str = "lifthollow-service";
/// Remaining time of the call in milliseconds.
pub const DEADLINE_MS: &str = "lifthollow-deadline-ms";
/// Priority class of the call.
pub const CLASS: &str = "lifthollow-class";
/// Idempotency key: the caller's name for an operation that must be executed at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Name that the client gave to the whole request.
pub const REQUEST: &str = "lifthollow-request";
/// Number of the client's attempt; 1 is the first.
pub const ATTEMPT: &str = "lifthollow-attempt";
/// Opaque context that a service copies from a call to the nested calls that it makes.
pub const CONTEXT: &str = "lifthollow-context";
/// Outcome of the call in a node's response: `complete`, `not-run` or `unknown`.
pub const OUTCOME: &str = "lifthollow-outcome";
/// Reason why a node refused the call or does not know its outcome.
pub const REASON: &str = "lifthollow-reason";
/// Delay in milliseconds after which the caller of a refused call may retry it.
pub const RETRY_AFTER_MS: &str = "lifthollow-retry-after-ms";
/// Delay in seconds after which the caller of a refused call may retry it.
pub const RETRY_AFTER: &str = "retry-after";
/// Set to `yes` by a back end in the response to a call that it did not start to execute.
pub const NOT_RUN: &str = "lifthollow-not-run";
/// Header of this crate: number of the client's attempt to which a call belongs. Nodes forward it.
pub const CALL_ATTEMPT: &str = "standin-attempt";
/// Header of this crate: the execution that made a nested call, or an empty value. Nodes forward
/// it.
pub const CALL_CALLER: &str = "standin-caller";
