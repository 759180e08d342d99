//! What commands print: tables for people, JSON for programs.

use std::io::Write;

use serde::Serialize;

use crate::error::Failure;

/// Space between two columns.
const GAP: &str = "  ";

/// Rows under a heading, aligned to the left.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these columns.
    pub fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|text| (*text).into()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as text.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                line.push_str(&format!("{cell:<width$}{GAP}"));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Prints an answer as JSON.
pub fn print_json<T: Serialize>(answer: &T) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(answer)
        .map_err(|error| Failure::Answer(format!("the answer is no JSON ({error})")))?;
    print_text(&format!("{text}\n"))
}

/// Prints text as it is.
pub fn print_text(text: &str) -> Result<(), Failure> {
    std::io::stdout().lock().write_all(text.as_bytes())?;
    Ok(())
}

/// A value that may be absent.
pub fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

/// A share in parts per million as percent.
pub fn percent(ppm: u32) -> String {
    format!("{:.2}%", f64::from(ppm) / 10_000.0)
}
