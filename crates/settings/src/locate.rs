//! Maps keys and byte offsets to line numbers for error messages.

use toml::de::DeTable;
use toml::de::DeValue;

/// Returns the 1-based line of a dotted key, or of the nearest enclosing table if it is absent.
pub(crate) fn line_of_key(source: &str, key: &str) -> usize {
    let Ok(document) = DeTable::parse(source) else {
        return 1;
    };
    let mut table = document.get_ref();
    let mut offset_bytes = 0;
    for part in key.split('.') {
        let Some((name, value)) = table.iter().find(|(name, _)| name.get_ref() == part) else {
            break;
        };
        offset_bytes = name.span().start;
        match value.get_ref() {
            DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    line_of_offset(source, offset_bytes)
}

/// Returns the 1-based line of a byte offset.
pub(crate) fn line_of_offset(source: &str, offset_bytes: usize) -> usize {
    let end = offset_bytes.min(source.len());
    source.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}
