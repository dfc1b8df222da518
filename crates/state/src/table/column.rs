//! The columns of the table and the bounds of their cells.

use std::fmt;
use std::ops::RangeInclusive;

use super::TableRow;

/// Bounds of the relative `weight` of a side.
pub const WEIGHT_BOUNDS: RangeInclusive<u32> = 0..=10_000;
/// Bounds of `max_in_flight`, calls.
pub const MAX_IN_FLIGHT_BOUNDS: RangeInclusive<u32> = 1..=65_535;
/// Bounds of `max_queue`, calls.
pub const MAX_QUEUE_BOUNDS: RangeInclusive<u32> = 0..=65_535;
/// Bounds of `max_connections`, connections.
pub const MAX_CONNECTIONS_BOUNDS: RangeInclusive<u32> = 1..=65_535;
/// Bounds of `deadline_ms`, milliseconds: up to one hour.
pub const DEADLINE_MS_BOUNDS: RangeInclusive<u32> = 1..=3_600_000;

/// A column of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Column {
    /// Name of the service; together with `side` it is the key of the row.
    Service,
    /// The data centre; together with `service` it is the key of the row.
    Side,
    /// Relative share of the service's calls that go to this side.
    Weight,
    /// Maximum number of concurrent calls at each server.
    MaxInFlight,
    /// Maximum number of queued calls at each server.
    MaxQueue,
    /// Maximum number of connections to each back end.
    MaxConnections,
    /// Priority class of calls that do not state one.
    Class,
    /// Whether calls without an idempotency key may run more than once.
    Repeatable,
    /// Maximum duration, in milliseconds, of calls that do not state a deadline.
    DeadlineMs,
}

impl Column {
    /// All columns, in the order of the canonical form.
    pub const ALL: [Column; 9] = [
        Column::Service,
        Column::Side,
        Column::Weight,
        Column::MaxInFlight,
        Column::MaxQueue,
        Column::MaxConnections,
        Column::Class,
        Column::Repeatable,
        Column::DeadlineMs,
    ];

    /// Returns the column's name in the table's header.
    pub fn as_str(self) -> &'static str {
        match self {
            Column::Service => "service",
            Column::Side => "side",
            Column::Weight => "weight",
            Column::MaxInFlight => "max_in_flight",
            Column::MaxQueue => "max_queue",
            Column::MaxConnections => "max_connections",
            Column::Class => "class",
            Column::Repeatable => "repeatable",
            Column::DeadlineMs => "deadline_ms",
        }
    }

    /// Returns the column with this name in the table's header.
    pub fn from_name(name: &str) -> Option<Self> {
        Column::ALL
            .into_iter()
            .find(|column| column.as_str() == name)
    }

    /// Returns whether the column is part of the row's key, which an edit can't change.
    pub fn is_key(self) -> bool {
        matches!(self, Column::Service | Column::Side)
    }

    /// Returns all column names, separated by commas, for messages.
    pub fn list() -> String {
        Column::ALL.map(Column::as_str).join(", ")
    }
}

impl fmt::Display for Column {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl TableRow {
    /// Returns the text of one cell in canonical form.
    pub fn cell(&self, column: Column) -> String {
        match column {
            Column::Service => self.service.to_string(),
            Column::Side => self.side.to_string(),
            Column::Weight => self.weight.to_string(),
            Column::MaxInFlight => self.max_in_flight.to_string(),
            Column::MaxQueue => self.max_queue.to_string(),
            Column::MaxConnections => self.max_connections.to_string(),
            Column::Class => self.class.to_string(),
            Column::Repeatable => yes_or_no(self.repeatable).to_owned(),
            Column::DeadlineMs => self.deadline.as_millis().to_string(),
        }
    }

    /// Returns the row as a CSV line in canonical form with its line terminator,
    /// regardless of how the file was formatted. No valid cell needs quotes.
    pub(super) fn to_csv_line(&self) -> String {
        let cells = Column::ALL.map(|column| self.cell(column));
        cells.join(",") + "\n"
    }
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}
