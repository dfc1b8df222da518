//! Validation errors in operators' input, reported together, each with its location.

use std::fmt::{self, Display};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

/// Location of an error in the input. Rows and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The file as a whole.
    File(Arc<str>),
    /// One cell of a table, or one character of a text file.
    Cell {
        /// Name of the file as the operator gave it.
        file: Arc<str>,
        /// Number of the line, which is also the row number that a spreadsheet shows.
        row: usize,
        /// Number of the cell in a table's row, or of the character in a line of text.
        column: usize,
    },
    /// A command-line argument; flags include their dashes.
    Argument(Arc<str>),
}

impl Place {
    /// Creates the location of one cell.
    pub fn cell(file: &Arc<str>, row: usize, column: usize) -> Self {
        Place::Cell {
            file: Arc::clone(file),
            row,
            column,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::File(file) => formatter.write_str(file),
            Place::Cell { file, row, column } => write!(formatter, "{file}:{row}:{column}"),
            Place::Argument(argument) => formatter.write_str(argument),
        }
    }
}

/// One error and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Location of the error.
    pub place: Place,
    /// Description of the error and of the valid values.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// All errors found in one input. Displayed one per line as `file:row:column: message`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// Adds one error.
    pub fn add(&mut self, place: Place, message: impl Into<String>) {
        self.findings.push(Finding {
            place,
            message: message.into(),
        });
    }

    /// Adds all errors of another collection.
    pub fn append(&mut self, other: Findings) {
        self.findings.extend(other.findings);
    }

    /// Sorts the errors by location; errors at the same location keep their order.
    pub fn sort(&mut self) {
        self.findings
            .sort_by(|left, right| left.place.cmp(&right.place));
    }

    /// Returns the number of errors.
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Returns whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Iterates over the errors in order.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Quotes input text for a message: in backquotes, with control characters escaped
/// and long text truncated.
pub fn quoted(text: &str) -> String {
    const MAX_SHOWN_CHARACTERS: usize = 40;
    let shown: String = text
        .chars()
        .take(MAX_SHOWN_CHARACTERS)
        .flat_map(char::escape_debug)
        .collect();
    let is_truncated = text.chars().nth(MAX_SHOWN_CHARACTERS).is_some();
    let ellipsis = if is_truncated { "..." } else { "" };
    format!("`{shown}{ellipsis}`")
}

/// Returns the message for text that is not one of the valid values described by `fault`.
pub fn unknown(text: &str, fault: impl Display) -> String {
    format!("{} is not valid: {fault}", quoted(text))
}

/// Parses a whole number within `bounds`; the error is the message of a [`Finding`].
pub fn bounded_number<T>(text: &str, bounds: &RangeInclusive<T>) -> Result<T, String>
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
