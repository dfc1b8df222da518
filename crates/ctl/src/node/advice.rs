//! What a refusal's reason means to an operator, and where to look.

use lifthollow_protocol::RefusalReason;

/// One or two sentences on a reason.
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
             Compare `deadline_ms` and the callers' own deadlines with the back end's time."
        }
        RefusalReason::NoServer => {
            "No server of the service may take work. See `members`; \
             check the weights and whether one side is cut off or leaving."
        }
        RefusalReason::DownstreamOverloaded => {
            "A service further down refuses such calls, so this one is refused before \
             work is done for it. Explain that service."
        }
        RefusalReason::Leaving => {
            "The server is leaving and takes no new work. \
             No cell to change unless too many servers leave at once."
        }
        RefusalReason::UnknownService => {
            "The table in force has no row for the service. \
             Check the service's name in `lifthollow-service` and the table's number."
        }
        RefusalReason::Paused => {
            "The node's process was paused and what it held had grown old. \
             Look at the machine: processor time, memory, a frozen virtual machine."
        }
        RefusalReason::ConnectionFailed => {
            "The connection to the server failed. See `members` and the network between."
        }
        RefusalReason::BackendRefused => {
            "The back end itself shed the call before it ran. Its own limit is below \
             the table's: lower `max_in_flight` to what the back end takes."
        }
        RefusalReason::AnswerLost => {
            "The answer was lost after the call may have started. \
             A repeat with the same idempotency key learns how it ended."
        }
        RefusalReason::Cancelled => {
            "The caller hung up. Callers that give up early see slow answers; \
             compare their own time limits with `deadline_ms`."
        }
        RefusalReason::AlreadyRunning => {
            "A call with the same idempotency key is being run. Its caller asked again \
             too early; the first run goes on."
        }
        RefusalReason::KeyReused => {
            "The idempotency key was used before with another body. The caller is at fault."
        }
        RefusalReason::NoQuorum => {
            "Too few replicas could be reached to claim the idempotency key. \
             See `members`: zones that are lost or cut off."
        }
    }
}
