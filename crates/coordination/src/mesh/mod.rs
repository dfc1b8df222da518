//! Decisions for a mesh whose requests are routed by host and path.
//!
//! In the order in which a request meets them:
//!
//! 1. [`route_table`]: which route takes it;
//! 2. [`tenants`]: whose it is, and whether its tenant may send one more;
//! 3. [`weighted_split`]: which of the route's services;
//! 4. [`call`]: whether there is another attempt, and what the caller is told;
//! 5. [`server_selection`]: which server gets the attempt ([`server_wanted`], `server_suitability`);
//! 6. [`retry_budget`]: whether a repeat may be spent on it ([`sent_counts`]);
//! 7. [`server_admission`]: at the server's node, whether it runs, waits
//!    ([`admission_queue`], `admission_place`) or is refused.
//!
//! [`rate_limits`] keeps servers below the limits that they name.
//!
//! [`processor_admission`] tells which requests the node's own processor has time for.
//!
//! [`server_health`] and [`loss_estimate`] tell which servers fail what they are
//! given. [`request_tree`] tells which request a nested call is made for, and
//! [`nested_calls`] which servers it may go to.
//!
//! [`poison`] tells which requests crash the servers that run them.
//!
//! [`snapshot_store`] keeps what the node was told from outside, forward only.
//! [`source_following`] tells what a node asks the source, and when. [`watchers`] tells which
//! nodes ask it for all, and [`view_freshness`] when the others must.

mod admission_place;
pub mod admission_queue;
pub mod call;
pub mod loss_estimate;
pub mod nested_calls;
pub mod poison;
pub mod processor_admission;
pub mod rate_limits;
pub mod reported_load;
pub mod request_tree;
pub mod retry_budget;
pub mod route_table;
pub mod sent_counts;
pub mod server_admission;
pub mod server_health;
mod server_record;
pub mod server_selection;
mod server_suitability;
pub mod server_wanted;
pub mod snapshot_store;
pub mod source_following;
pub mod tenants;
pub mod view_freshness;
pub mod watchers;
pub mod weighted_split;
