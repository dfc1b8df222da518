//! Formats text in aligned columns.

const GAP: &str = "  ";

/// Rows under a header, padded so that columns line up.
#[derive(Clone, Debug)]
pub struct Columns {
    rows: Vec<Vec<String>>,
}

impl Columns {
    /// Creates columns with these headings and no rows.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|text| text.to_uppercase()).collect();
        Columns {
            rows: vec![headings],
        }
    }

    /// Adds a row; it has as many cells as there are headings.
    pub fn add(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the columns, one line for each row, without a final line break.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let lines: Vec<String> = self.rows.iter().map(|row| line(row, &widths)).collect();
        lines.join("\n")
    }

    fn widths(&self) -> Vec<usize> {
        let count = self.rows[0].len();
        (0..count)
            .map(|index| {
                let lengths = self.rows.iter().map(|row| row[index].chars().count());
                lengths.max().unwrap_or(0)
            })
            .collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join(GAP).trim_end().to_owned()
}
