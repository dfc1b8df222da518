//! Advice for operators on the reasons of refusals: what a reason means, and where to
//! look.

use lifthollow_protocol::RefusalReason;

/// Advice on one reason, in one to three sentences.
pub(super) fn advice(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => {
            "The servers have as much work as they can finish in time. \
             Look at `limit` below `max_in_flight`: the back end has slowed down. \
             Raise `max_in_flight` only if the limit stands at it."
        }
        RefusalReason::QueueFull => {
            "The queue stands at `max_queue`. A larger queue makes calls wait longer \
             and serves no more of them; look for why the back end is slow."
        }
        RefusalReason::DeadlineTooShort => {
            "The call could not finish before its deadline. \
             Compare `deadline_ms` and the callers' own deadlines with the back end's \
             response time."
        }
        RefusalReason::NoServer => {
            "No server of the service may take work. See `members`; \
             check the weights and whether one side is cut off or leaving."
        }
        RefusalReason::DownstreamOverloaded => {
            "A downstream service refuses such calls, so this one is refused before \
             work is done for it. Run `explain` for that service."
        }
        RefusalReason::Leaving => {
            "The server is leaving and accepts no new work. \
             No cell needs a change unless too many servers leave at once."
        }
        RefusalReason::UnknownService => {
            "The table in force has no row for the service. \
             Check the service's name in `lifthollow-service` and the table's number."
        }
        RefusalReason::Paused => {
            "The node's process was paused, and the calls it held became too old. \
             Check the machine: CPU time, memory, a frozen virtual machine."
        }
        RefusalReason::ConnectionFailed => {
            "The connection to the server failed. \
             See `members`, and check the network between the nodes."
        }
        RefusalReason::BackendRefused => {
            "The back end itself shed the call before it ran. Its own limit is below \
             the table's: lower `max_in_flight` to what the back end accepts."
        }
        RefusalReason::AnswerLost => {
            "The answer was lost after the call may have started. \
             A retry with the same idempotency key returns how it ended."
        }
        RefusalReason::Cancelled => {
            "The caller closed the connection. Callers that give up early see slow answers; \
             compare their own timeouts with `deadline_ms`."
        }
        RefusalReason::AlreadyRunning => {
            "A call with the same idempotency key is running. Its caller retried \
             too early; the first run continues."
        }
        RefusalReason::KeyReused => {
            "The idempotency key was used before with another body. This is a fault of the caller."
        }
        RefusalReason::NoQuorum => {
            "Too few replicas could be reached to claim the idempotency key. \
             Look in `members` for zones that are lost or cut off."
        }
    }
}
