//! The proxy process of a service mesh: takes requests from local callers, sends them to the nodes
//! beside servers, and forwards requests of other nodes to its local server (the one beside it).
//!
//! Everything runs on one thread, because the machines have one core: no other thread has to be woken
//! for a request. Decisions are made in [`lifthollow_coordination::mesh`]; this crate carries them
//! out.
//!
//! - [`outbound`]: requests of local callers, to any service;
//! - [`inbound`]: attempts of other nodes, for the local server;
//! - [`node`]: the state that both share;
//! - [`probe`]: probes of servers that stopped responding, until they answer again;
//! - [`source`]: queries to the source of configuration and servers;
//! - [`snapshots`]: changes of configuration and servers, from the source or from other nodes;
//! - [`suspects`]: requests that may crash servers, and the exchange of reports about them;
//! - [`tenants`]: the tenant of a request, and whether its rate limit admits the request;
//! - [`http`]: HTTP bodies, headers and connections; [`network`]: byte streams;
//! - [`process`]: listeners, signals, start and stop.
//!
//! [`WireNames`] holds the names of the headers used with callers and servers, so that an adapter for
//! a platform makes no decisions of its own.

pub mod http;
pub mod inbound;
pub mod logging;
pub mod metrics;
pub mod network;
pub mod node;
pub mod outbound;
mod peer_client;
pub mod peer_headers;
pub mod probe;
pub mod process;
pub mod request_content;
pub mod settings;
pub mod snapshots;
pub mod source;
pub mod suspects;
pub mod tenants;
pub mod wire_names;

pub use node::{Environment, Node};
pub use settings::ProxySettings;
pub use wire_names::WireNames;
