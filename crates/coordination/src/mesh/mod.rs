//! Decisions for a mesh whose requests are routed by host and path.
//!
//! The decisions in the order in which they are made for a request:
//!
//! 1. [`route_table`]: which route the request takes;
//! 2. [`tenants`]: which tenant sent it, and whether the tenant's quota allows another request;
//! 3. [`weighted_split`]: which of the route's services gets it;
//! 4. [`call`]: whether another attempt is made, and what the caller is answered;
//! 5. [`server_selection`]: which server gets the attempt ([`server_requirements`],
//!    `server_suitability`);
//! 6. [`retry_budget`]: whether the fleet's retry bound allows a retry ([`sent_counts`]), and
//!    [`queue_time`]: how long the attempt may wait in the server's queue;
//! 7. [`server_admission`]: at the server's node, whether the attempt runs, waits
//!    ([`admission_queue`], `admission_level`) or is refused.
//!
//! [`connection_history`] decides which connections to its server an attempt may be sent on.
//!
//! [`acknowledgements`] tells connections whose peer is gone from those whose peer is slow to read.
//!
//! [`rate_limits`] keeps the request rates of servers below the limits that they announce.
//!
//! [`processor_admission`] decides which attempts the node's own processor has time for.
//!
//! [`server_health`] and [`loss_estimate`] estimate the share of requests that a server
//! fails. [`request_tree`] finds the request that a nested call is made for, and
//! [`nested_calls`] determines which servers the call may go to.
//!
//! [`poison`] detects requests that crash the servers that run them.
//!
//! [`snapshot_store`] holds the configuration and the servers that the node has received, and never
//! replaces them by older ones. [`source_following`] decides what a node asks the source, and when.
//! [`watchers`] decides which nodes ask the source on behalf of all, and [`view_freshness`] when
//! the other nodes must ask it.

pub mod acknowledgements;
mod admission_level;
pub mod admission_queue;
pub mod call;
pub mod connection_history;
pub mod loss_estimate;
pub mod nested_calls;
pub mod poison;
pub mod processor_admission;
pub mod queue_time;
pub mod rate_limits;
pub mod reported_load;
pub mod request_tree;
pub mod retry_budget;
pub mod route_table;
pub mod sent_counts;
pub mod server_admission;
pub mod server_health;
mod server_record;
pub mod server_requirements;
pub mod server_selection;
mod server_suitability;
pub mod snapshot_store;
pub mod source_following;
pub mod tenants;
pub mod view_freshness;
pub mod watchers;
pub mod weighted_split;
