//! Output of the commands on standard output: tables or JSON. Write errors, such as a closed pipe, are ignored.

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;
use std::io::Write;

/// Prints a line.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as indented JSON.
pub fn print_json(value: &Value) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints a table with a header row.
pub fn print_table(header: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header.to_vec());
    rows.into_iter().for_each(|row| {
        table.add_row(row);
    });
    print_line(&table.to_string());
}

/// Formats a value for a table cell: text without quotes, null as a dash, fractions with at most two digits, arrays
/// separated by commas.
pub fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(n) if n.fract() != 0.0 => format!("{:.2}", n).trim_end_matches('0').to_string(),
            _ => number.to_string(),
        },
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Formats these fields of an object as the cells of a row.
pub fn row_cells(value: &Value, fields: &[&str]) -> Vec<String> {
    fields.iter().map(|f| cell_text(&value[*f])).collect()
}

/// Prints an object as a table with one row for each field, or as JSON.
pub fn print_fields(value: &Value, as_json: bool) {
    if as_json {
        return print_json(value);
    }
    let fields = value.as_object().into_iter().flatten();
    let rows = fields.map(|(name, v)| vec![name.clone(), cell_text(v)]);
    print_table(&["field", "value"], rows.collect());
}
