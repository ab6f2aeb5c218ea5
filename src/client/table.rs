//! Formats JSON as text: single values as lines, lists of objects as tables.

use serde_json::{Map, Value};

/// Columns that precede all others, in this order.
const FIRST_COLUMNS: [&str; 6] = ["offset", "at_ms", "name", "host", "state", "address"];
/// Separator between columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Formats a JSON response as text for a terminal.
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

/// Formats rows as a table with a column for each field of any row.
///
/// If a row is not an object, each row is one line.
#[must_use]
pub fn rows_as_table(rows: &[Value]) -> String {
    let objects: Vec<Map<String, Value>> = (rows.iter().filter_map(Value::as_object))
        .map(flatten)
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
    align(&lines)
}

/// Replaces nested objects by fields named `outer.inner`, one level deep.
fn flatten(object: &Map<String, Value>) -> Map<String, Value> {
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

/// Names of all fields, the first columns first and the others in order of appearance.
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

/// Pads cells to the width of their column; removes trailing spaces.
fn align(lines: &[Vec<String>]) -> String {
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
        text.push_str(padded.join(COLUMN_SEPARATOR).trim_end());
        text.push('\n');
    }
    text
}

/// Text of a value, with control characters replaced.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::from("-"),
        // Control characters in a name of a host or team could inject terminal commands.
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
