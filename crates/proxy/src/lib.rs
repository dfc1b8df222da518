//! The traffic process of a mesh: takes requests from callers beside it, sends
//! them to the nodes beside servers, and hands requests to the server beside it.
//!
//! Everything runs on one thread, because the machines have one core: a request
//! passes without waking another thread. Decisions come from
//! [`lifthollow_coordination::mesh`]; this crate carries them out.
//!
//! - [`outbound`]: requests of local callers, to any service;
//! - [`inbound`]: attempts of other nodes, for the server beside this node;
//! - [`node`]: the state that both share;
//! - [`probe`]: whether a server that fell silent can be trusted again;
//! - [`source`]: what is asked of the source of configuration and servers;
//! - [`snapshots`]: what comes from outside, and from other nodes in its place;
//! - [`suspects`]: requests that crash servers, and what nodes tell each other of them;
//! - [`tenants`]: whose a request is, and whether its tenant may send one more;
//! - [`http`]: bodies and what HTTP says of connections; [`network`]: connections;
//! - [`process`]: listeners, signals, start and stop.
//!
//! What callers and servers call their headers is told by [`WireNames`], so that
//! a platform is met by an adapter without decisions of its own.

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

pub use node::{Node, Surroundings};
pub use settings::ProxySettings;
pub use wire_names::WireNames;
