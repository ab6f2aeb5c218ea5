//! Shows a JSON answer as text: single values as lines, lists of objects as tables.

use serde_json::{Map, Value};

/// Columns that come first, in this order.
const FIRST_COLUMNS: [&str; 6] = ["offset", "at_ms", "name", "host", "state", "address"];
/// Space between columns.
const GAP: &str = "  ";

/// The answer as text for a terminal.
#[must_use]
pub fn render(answer: &Value) -> String {
    match answer {
        Value::Object(fields) => {
            let singles = fields.iter().filter(|(_, value)| !value.is_array());
            let lists = fields.iter().filter(|(_, value)| value.is_array());
            let mut text = String::new();
            for (name, value) in singles {
                text.extend([name, ": ", &cell(value), "\n"]);
            }
            for (name, value) in lists {
                let rows = value.as_array().map_or(&[][..], Vec::as_slice);
                text.extend(["\n", name, " (", &rows.len().to_string(), ")\n"]);
                text.push_str(&rows_as_table(rows));
            }
            text
        }
        Value::Array(rows) => rows_as_table(rows),
        single => format!("{}\n", cell(single)),
    }
}

/// A table of rows, whose columns are all fields that any row has.
#[must_use]
pub fn rows_as_table(rows: &[Value]) -> String {
    let objects: Vec<Map<String, Value>> = (rows.iter().filter_map(Value::as_object))
        .map(flat)
        .collect();
    if objects.len() < rows.len() {
        return rows
            .iter()
            .flat_map(|row| [cell(row), String::from("\n")])
            .collect();
    }
    let columns = columns(&objects);
    let mut lines: Vec<Vec<String>> = Vec::with_capacity(rows.len() + 1);
    lines.push(columns.iter().map(|name| (*name).to_owned()).collect());
    for object in &objects {
        let line = columns
            .iter()
            .map(|name| object.get(*name).map(cell).unwrap_or_default());
        lines.push(line.collect());
    }
    aligned(&lines)
}

/// An object whose inner objects' fields are its own, as `outer.inner`.
fn flat(object: &Map<String, Value>) -> Map<String, Value> {
    let mut fields = Map::new();
    for (name, value) in object {
        match value {
            Value::Object(inner) => {
                let inner = inner.iter();
                fields.extend(inner.map(|(key, value)| (format!("{name}.{key}"), value.clone())));
            }
            other => {
                fields.insert(name.clone(), other.clone());
            }
        }
    }
    fields
}

fn columns(objects: &[Map<String, Value>]) -> Vec<&str> {
    let mut columns: Vec<&str> = Vec::new();
    for name in objects.iter().flat_map(Map::keys) {
        if !columns.contains(&name.as_str()) {
            columns.push(name);
        }
    }
    let rank = |name: &str| {
        let first = FIRST_COLUMNS.iter().position(|first| *first == name);
        first.unwrap_or(FIRST_COLUMNS.len())
    };
    columns.sort_by_key(|name| rank(name));
    columns
}

fn aligned(lines: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let columns = lines.first().map_or(0, Vec::len);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let padded: Vec<String> = (line.iter().zip(&widths))
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(padded.join(GAP).trim_end());
        text.push('\n');
    }
    text
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::from("-"),
        // A terminal obeys control characters; a host's or team's name must not steer it.
        Value::String(text) => text.chars().map(printable).collect(),
        other => other.to_string().chars().map(printable).collect(),
    }
}

fn printable(character: char) -> char {
    if character.is_control() {
        '\u{fffd}'
    } else {
        character
    }
}

#[cfg(test)]
mod tests;
