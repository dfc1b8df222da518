//! Parsers for the text of single cells. Errors are returned as the part of a
//! finding's message that follows the column's name.

use std::str::FromStr;
use std::time::Duration;

use super::column::{
    DEADLINE_MS_BOUNDS, MAX_CONNECTIONS_BOUNDS, MAX_IN_FLIGHT_BOUNDS, MAX_QUEUE_BOUNDS,
    WEIGHT_BOUNDS,
};
use crate::finding::{bounded_number, quoted, unknown};
use crate::{PriorityClass, ServiceName, Side};

pub(super) fn service(text: &str) -> Result<ServiceName, String> {
    ServiceName::from_str(text).map_err(|fault| unknown(text, fault))
}

pub(super) fn side(text: &str) -> Result<Side, String> {
    Side::from_str(text).map_err(|fault| unknown(text, fault))
}

pub(super) fn weight(text: &str) -> Result<u32, String> {
    bounded_number(text, &WEIGHT_BOUNDS)
}

pub(super) fn max_in_flight(text: &str) -> Result<u32, String> {
    bounded_number(text, &MAX_IN_FLIGHT_BOUNDS)
}

pub(super) fn max_queue(text: &str) -> Result<u32, String> {
    bounded_number(text, &MAX_QUEUE_BOUNDS)
}

pub(super) fn max_connections(text: &str) -> Result<u32, String> {
    bounded_number(text, &MAX_CONNECTIONS_BOUNDS)
}

pub(super) fn class(text: &str) -> Result<PriorityClass, String> {
    PriorityClass::from_str(text).map_err(|fault| unknown(text, fault))
}

pub(super) fn repeatable(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("{} is neither `yes` nor `no`", quoted(text))),
    }
}

pub(super) fn deadline(text: &str) -> Result<Duration, String> {
    let millis = bounded_number(text, &DEADLINE_MS_BOUNDS)?;
    Ok(Duration::from_millis(u64::from(millis)))
}
