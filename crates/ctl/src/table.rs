//! Aligned tables with optional terminal colours.

use std::io::IsTerminal;

/// The severity of a cell, which decides its colour on a terminal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// No colour.
    Plain,
    /// Normal state, green.
    Good,
    /// Needs attention, yellow.
    Warn,
    /// Failed, red.
    Bad,
}

/// A cell of a table.
#[derive(Debug, Clone)]
pub struct Cell {
    text: String,
    severity: Severity,
}

impl Cell {
    /// Creates a cell with a severity.
    pub fn with_severity(text: impl ToString, severity: Severity) -> Self {
        Self { text: text.to_string(), severity }
    }
}

impl<T: ToString> From<T> for Cell {
    fn from(text: T) -> Self {
        Self::with_severity(text, Severity::Plain)
    }
}

/// Whether the output is coloured.
#[derive(Debug, Clone, Copy)]
pub struct ColourMode(pub bool);

impl ColourMode {
    /// Uses colour only on a terminal, and only if `NO_COLOR` is not set.
    pub fn detect() -> Self {
        Self(std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none())
    }

    fn apply(self, text: &str, severity: Severity) -> String {
        let code = match severity {
            Severity::Good => 32,
            Severity::Warn => 33,
            Severity::Bad => 31,
            Severity::Plain => return text.to_owned(),
        };
        if self.0 { format!("\u{1b}[{code}m{text}\u{1b}[0m") } else { text.to_owned() }
    }
}

/// Renders the headers and rows, or only "none" if there are no rows.
pub fn table(colour: ColourMode, headers: &[&str], rows: &[Vec<Cell>]) -> String {
    if rows.is_empty() {
        return "  none\n".to_owned();
    }
    let widths: Vec<usize> = headers
        .iter()
        .enumerate()
        .map(|(column, header)| {
            let cells = rows.iter().map(|row| row[column].text.chars().count());
            cells.chain([header.chars().count()]).max().unwrap_or(0)
        })
        .collect();
    let header: Vec<Cell> = headers.iter().map(Cell::from).collect();
    let lines = std::iter::once(&header).chain(rows).map(|row| line(colour, row, &widths));
    lines.collect()
}

fn line(colour: ColourMode, row: &[Cell], widths: &[usize]) -> String {
    let mut line = String::new();
    for (index, (cell, width)) in row.iter().zip(widths).enumerate() {
        line.push_str("  ");
        line.push_str(&colour.apply(&cell.text, cell.severity));
        if index + 1 < row.len() {
            let padding = width - cell.text.chars().count();
            line.extend(std::iter::repeat_n(' ', padding));
        }
    }
    line.truncate(line.trim_end().len());
    line.push('\n');
    line
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against columns that lose their alignment with colour, and against colour in files
    /// and pipes.
    #[test]
    fn columns_align_with_and_without_colour() {
        let rows = [
            vec![Cell::from("a"), Cell::with_severity("yes", Severity::Good), Cell::from(1)],
            vec![Cell::from("longer"), Cell::with_severity("n", Severity::Bad), Cell::from(22)],
        ];
        let plain = table(ColourMode(false), &["NAME", "OK", "N"], &rows);
        assert_eq!(plain, "  NAME    OK   N\n  a       yes  1\n  longer  n    22\n");
        let coloured = table(ColourMode(true), &["NAME", "OK", "N"], &rows);
        let stripped = coloured.replace("\u{1b}[0m", "").replace("\u{1b}[32m", "");
        assert_eq!(stripped.replace("\u{1b}[31m", ""), plain);
        assert_ne!(coloured, plain);
    }
}
