//! Faults found in operators' input, each with its place, reported together.

use std::fmt::{self, Display};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

/// Where in the input a fault was found. Rows and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The file as a whole.
    File(Arc<str>),
    /// One cell of a table, or one character of a text file.
    Cell {
        /// The file's name as the operator gave it.
        file: Arc<str>,
        /// The line, which is also the row that a spreadsheet shows.
        row: usize,
        /// The cell in a table, or the character in a line of text.
        column: usize,
    },
    /// An argument of the command line, flags with their dashes.
    Argument(Arc<str>),
}

impl Place {
    /// The place of one cell.
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

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// All faults of one input. Displayed one per line as `file:row:column: message`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// Adds one fault.
    pub fn add(&mut self, place: Place, message: impl Into<String>) {
        self.findings.push(Finding {
            place,
            message: message.into(),
        });
    }

    /// Adds all faults of another collection.
    pub fn append(&mut self, other: Findings) {
        self.findings.extend(other.findings);
    }

    /// Orders the faults by place, keeping the order found at each place.
    pub fn sort(&mut self) {
        self.findings
            .sort_by(|left, right| left.place.cmp(&right.place));
    }

    /// How many faults there are.
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The faults in order.
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

/// Input text as it may be shown inside a message: control characters escaped,
/// long text cut, between backquotes.
pub fn quoted(text: &str) -> String {
    const MAX_SHOWN_CHARACTERS: usize = 40;
    let shown: String = text
        .chars()
        .take(MAX_SHOWN_CHARACTERS)
        .flat_map(char::escape_debug)
        .collect();
    let is_cut = text.chars().nth(MAX_SHOWN_CHARACTERS).is_some();
    let mark = if is_cut { "..." } else { "" };
    format!("`{shown}{mark}`")
}

/// The message for text that is none of the values `fault` describes.
pub fn unknown(text: &str, fault: impl Display) -> String {
    format!("{} is not valid: {fault}", quoted(text))
}

/// Reads a whole number inside its bounds; the error is a finding's message.
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
