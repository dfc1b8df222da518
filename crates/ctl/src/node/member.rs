//! Formats the fields of one member.

use lifthollow_protocol::operators::KnownMember;

use crate::duration::duration;

/// The table in force on the member at its last message.
pub(super) fn table(known: &KnownMember) -> String {
    match (known.heard_seconds_ago, known.table_number) {
        (None, _) => "not known".to_owned(),
        (Some(_), 0) => "none".to_owned(),
        (Some(_), number) => format!("{number} ({})", known.table_digest),
    }
}

/// The time since the last message from the member.
pub(super) fn heard(known: &KnownMember) -> String {
    match known.heard_seconds_ago {
        None => "never".to_owned(),
        Some(seconds) => format!("{} ago", duration(seconds)),
    }
}

/// The state in which decisions treat the member.
pub(super) fn state(known: &KnownMember) -> String {
    match &known.use_as {
        Some(state) => state.clone(),
        None if known.services.is_empty() => "no services".to_owned(),
        None => "not used".to_owned(),
    }
}

/// The reason why the member is in its state.
pub(super) fn why(known: &KnownMember) -> String {
    let since = known.not_alive_seconds.map_or(String::new(), |seconds| {
        format!(" for {}", duration(seconds))
    });
    match (known.status.as_str(), known.listing.as_str()) {
        ("removed", _) => format!("gone{since}"),
        ("leaving", _) => format!("it says that it leaves{since}"),
        (_, "leaving") => "the platform's list says that it leaves".to_owned(),
        ("suspected", _) => format!("it does not answer probes{since}"),
        _ if known.use_as.as_deref() == Some("suspected") => "its zone can't be reached".to_owned(),
        _ if known.incarnation == 0 => "listed, but not heard of yet".to_owned(),
        (_, "dropped") => "alive; the platform's list no longer has it".to_owned(),
        _ => format!("alive, heard {}", heard(known)),
    }
}
