//! The columns of the table and the bounds of their cells.

use std::fmt;
use std::ops::RangeInclusive;

use super::TableRow;

/// Bounds of `weight`.
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
    /// The service's name; with `side`, the key of the row.
    Service,
    /// The data centre; with `service`, the key of the row.
    Side,
    /// Share of the service's calls for this side.
    Weight,
    /// Ceiling of running calls at each server.
    MaxInFlight,
    /// Ceiling of waiting calls at each server.
    MaxQueue,
    /// Ceiling of connections to each back end.
    MaxConnections,
    /// Priority class of calls that state none.
    Class,
    /// Whether calls without an idempotency key may be run again.
    Repeatable,
    /// Time for calls that state no deadline.
    DeadlineMs,
}

impl Column {
    /// All columns, in the order in which they are written.
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

    /// The word in the table's header.
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

    /// The column with this word in the header.
    pub fn from_name(name: &str) -> Option<Self> {
        Column::ALL
            .into_iter()
            .find(|column| column.as_str() == name)
    }

    /// Whether the column is part of the row's key and can't be changed alone.
    pub fn is_key(self) -> bool {
        matches!(self, Column::Service | Column::Side)
    }

    /// All column names, for messages.
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
    /// The text of one cell as it is written in the table.
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

    /// The row as a line of CSV with its end, which does not depend on how the
    /// file was written. No valid cell needs quotes.
    pub(super) fn to_csv_line(&self) -> String {
        let cells = Column::ALL.map(|column| self.cell(column));
        cells.join(",") + "\n"
    }
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}
