//! Data types of a service mesh that routes requests by host and path.
//!
//! A [`Snapshot`] holds everything that a node receives from the source: the operators'
//! [`Configuration`] and the running [`ServerInstance`]s.

mod codec;
mod configuration;
mod revision;
mod route;
mod server_instance;
mod server_notice;
mod snapshot;
mod tenant;
mod update;

pub use configuration::{Configuration, ConfigurationError, RequestLimits, ServiceSettings};
pub use revision::{Revision, SnapshotVersion};
pub use route::{Destination, RequestKind, Route};
pub use server_instance::{InstanceId, ServerInstance, ServerState};
pub use server_notice::{InvalidRate, RequestRate, ServerNotice};
pub use snapshot::{KnownServer, Snapshot};
pub use tenant::{KeyDigest, RateLimit, Tenant};
pub use update::{Change, Gap, RevisedChange, Update};
