//! Values of a mesh of services that is routed by host and path.
//!
//! A [`Snapshot`] holds all that a node is told from outside: the
//! [`Configuration`] of the operators and the [`ServerInstance`]s that run.

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
