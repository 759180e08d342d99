//! A table for people and a last line of JSON for programs.

use serde::Serialize;

/// Prints rows under headings, columns aligned to the widest cell.
pub fn table(headings: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    print_row(&widths, headings.iter().copied());
    for row in rows {
        print_row(&widths, row.iter().map(String::as_str));
    }
}

fn print_row<'a>(widths: &[usize], cells: impl Iterator<Item = &'a str>) {
    let mut line = String::new();
    for (cell, width) in cells.zip(widths) {
        line.push_str(&format!("{cell:<width$}  "));
    }
    println!("{}", line.trim_end());
}

/// Prints the last line of a measurement.
///
/// # Errors
/// The figures do not serialise.
pub fn last_line<T: Serialize>(figures: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}
