//! What an attempt needs of a server.

use lifthollow_state::mesh::InstanceId;

/// The servers of a service that an attempt may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All but these.
    AllBut(Vec<InstanceId>),
    /// None but these.
    Only(Vec<InstanceId>),
}

impl Candidates {
    /// All servers of the service.
    pub const ALL: Candidates = Candidates::AllBut(Vec::new());

    /// The one server, if it is among them.
    pub fn only(self, server: &InstanceId) -> Option<Candidates> {
        let is_included = self.include(server);
        is_included.then(|| Candidates::Only(vec![server.clone()]))
    }

    pub(super) fn include(&self, server: &InstanceId) -> bool {
        match self {
            Candidates::AllBut(excluded) => !excluded.contains(server),
            Candidates::Only(included) => included.contains(server),
        }
    }
}

/// What an attempt needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Servers that it may go to.
    pub candidates: &'a Candidates,
    /// Whether it can be asked for again if the answer is lost.
    pub may_repeat: bool,
    /// For whom it is made.
    pub purpose: Purpose,
}

/// For whom an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// For a caller.
    Request,
    /// For a run on another server, which fails if any of its calls does.
    NestedCall {
        /// Whether a repeat could be paid for if the attempt failed.
        can_be_repeated: bool,
    },
}

impl Purpose {
    pub(super) fn is_nested(self) -> bool {
        matches!(self, Purpose::NestedCall { .. })
    }

    /// Whether the work that was done for the request is lost with the attempt.
    pub(super) fn must_succeed(self) -> bool {
        matches!(
            self,
            Purpose::NestedCall {
                can_be_repeated: false
            }
        )
    }
}
