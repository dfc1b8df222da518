//! Names of the HTTP headers between callers, nodes and back ends.

/// Names the service that is called.
pub const SERVICE: &str = "lifthollow-service";
/// Remaining time of the call in milliseconds.
pub const DEADLINE_MS: &str = "lifthollow-deadline-ms";
/// Priority class of the call.
pub const CLASS: &str = "lifthollow-class";
/// The caller's name for an operation that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The client's name for the whole request.
pub const REQUEST: &str = "lifthollow-request";
/// Which attempt of the client this is; 1 is the first.
pub const ATTEMPT: &str = "lifthollow-attempt";
/// Opaque context that a service copies to its own calls.
pub const CONTEXT: &str = "lifthollow-context";
/// What a node's answer means: `complete`, `not-run` or `unknown`.
pub const OUTCOME: &str = "lifthollow-outcome";
/// Why a node refused a call.
pub const REASON: &str = "lifthollow-reason";
/// Milliseconds after which a refused caller may come back.
pub const RETRY_AFTER_MS: &str = "lifthollow-retry-after-ms";
/// Seconds after which a refused caller may come back.
pub const RETRY_AFTER: &str = "retry-after";
/// Set to `yes` by a back end on a call that it did not start.
pub const NOT_RUN: &str = "lifthollow-not-run";
/// The stand-in's own: which attempt of the client a call belongs to. Nodes pass it on.
pub const CALL_ATTEMPT: &str = "standin-attempt";
/// The stand-in's own: the run that made a nested call, or nothing. Nodes pass it on.
pub const CALL_CALLER: &str = "standin-caller";
