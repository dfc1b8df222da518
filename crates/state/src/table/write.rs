//! Serialization of a table as CSV.

use super::{Column, FILE_MARK, Table};

impl Table {
    /// Returns the table as a CSV file in canonical form: columns in the order of
    /// [`Column::ALL`], rows by service and side, lines terminated by `\n`.
    pub fn to_csv(&self) -> String {
        let number = self.version().number;
        let mut text = format!("{FILE_MARK},{number}\n");
        text.push_str(&Column::ALL.map(Column::as_str).join(","));
        text.push('\n');
        for row in self.rows() {
            text.push_str(&row.to_csv_line());
        }
        text
    }
}
