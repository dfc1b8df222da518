//! How the text of one cell becomes a value. Faults are returned as the second
//! half of a finding's message.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::column::{
    DEADLINE_MS_BOUNDS, MAX_CONNECTIONS_BOUNDS, MAX_IN_FLIGHT_BOUNDS, MAX_QUEUE_BOUNDS,
    WEIGHT_BOUNDS,
};
use crate::finding::quoted;
use crate::{PriorityClass, ServiceName, Side};

/// Longest name of a service, characters.
pub const MAX_SERVICE_NAME_LENGTH: usize = 64;

/// Reads a whole number inside its bounds.
pub(super) fn number<T>(text: &str, bounds: &RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + PartialOrd + Display,
{
    let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse::<T>() {
        Ok(value) if is_digits && bounds.contains(&value) => Ok(value),
        _ => Err(format!(
            "{} is not a whole number from {} to {}",
            quoted(text),
            bounds.start(),
            bounds.end()
        )),
    }
}

pub(super) fn service(text: &str) -> Result<ServiceName, String> {
    let is_letter_or_digit = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let starts_well = text.bytes().next().is_some_and(is_letter_or_digit);
    let is_plain = text
        .bytes()
        .all(|byte| is_letter_or_digit(byte) || matches!(byte, b'-' | b'_' | b'.'));
    if starts_well && is_plain && text.len() <= MAX_SERVICE_NAME_LENGTH {
        return Ok(ServiceName::new(text));
    }
    Err(format!(
        "{} is no service name: 1 to {MAX_SERVICE_NAME_LENGTH} of a-z, 0-9, `-`, `_` and `.`, \
         beginning with a letter or digit",
        quoted(text)
    ))
}

pub(super) fn side(text: &str) -> Result<Side, String> {
    Side::from_str(text).map_err(|fault| format!("{} is unknown; {fault}", quoted(text)))
}

pub(super) fn weight(text: &str) -> Result<u32, String> {
    number(text, &WEIGHT_BOUNDS)
}

pub(super) fn max_in_flight(text: &str) -> Result<u32, String> {
    number(text, &MAX_IN_FLIGHT_BOUNDS)
}

pub(super) fn max_queue(text: &str) -> Result<u32, String> {
    number(text, &MAX_QUEUE_BOUNDS)
}

pub(super) fn max_connections(text: &str) -> Result<u32, String> {
    number(text, &MAX_CONNECTIONS_BOUNDS)
}

pub(super) fn class(text: &str) -> Result<PriorityClass, String> {
    PriorityClass::from_str(text).map_err(|fault| format!("{} is unknown; {fault}", quoted(text)))
}

pub(super) fn repeatable(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("{} is neither `yes` nor `no`", quoted(text))),
    }
}

pub(super) fn deadline(text: &str) -> Result<Duration, String> {
    let millis = number(text, &DEADLINE_MS_BOUNDS)?;
    Ok(Duration::from_millis(u64::from(millis)))
}
