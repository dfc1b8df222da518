//! The requirements of an attempt on the server that it is sent to.

use lifthollow_state::mesh::InstanceId;

/// The servers of a service that an attempt may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All servers of the service except these.
    AllBut(Vec<InstanceId>),
    /// Only these servers.
    Only(Vec<InstanceId>),
}

impl Candidates {
    /// All servers of the service.
    pub const ALL: Candidates = Candidates::AllBut(Vec::new());

    /// Narrows the candidates to `server`; `None` if it is not one of them.
    pub fn only(self, server: &InstanceId) -> Option<Candidates> {
        let is_included = self.include(server);
        is_included.then(|| Candidates::Only(vec![server.clone()]))
    }

    /// Whether `server` is one of the candidates.
    pub(super) fn include(&self, server: &InstanceId) -> bool {
        match self {
            Candidates::AllBut(excluded) => !excluded.contains(server),
            Candidates::Only(included) => included.contains(server),
        }
    }
}

/// The requirements of an attempt on the server that it is sent to.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequirements<'a> {
    /// The servers that the attempt may go to.
    pub candidates: &'a Candidates,
    /// Whether the request can be retried if the answer is lost.
    pub may_retry: bool,
    /// Whether the attempt is a caller's request or a nested call.
    pub purpose: Purpose,
}

/// The kind of request that an attempt is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The request of a caller.
    Request,
    /// A call made by a run on another server, which fails if any of its calls fails.
    NestedCall {
        /// Whether the retry budget would allow a retry if the attempt failed.
        can_be_retried: bool,
    },
}

impl Purpose {
    pub(super) fn is_nested(self) -> bool {
        matches!(self, Purpose::NestedCall { .. })
    }

    /// Whether the work already done for the request is lost if the attempt fails.
    pub(super) fn must_succeed(self) -> bool {
        matches!(
            self,
            Purpose::NestedCall {
                can_be_retried: false
            }
        )
    }
}
