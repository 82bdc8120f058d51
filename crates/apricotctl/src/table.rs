//! Tables on standard output.

use comfy_table::Table;
use serde_json::Value;

/// An empty table with a header row.
#[must_use]
pub fn with_header(titles: &[&str]) -> Table {
    let mut table = Table::new();
    table.set_header(titles.iter().copied());
    table
}

/// A JSON value as one cell.
#[must_use]
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", cell(value)));
            parts.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
