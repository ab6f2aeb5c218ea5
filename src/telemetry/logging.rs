//! Log records as JSON, one a line.

use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};

/// Fields of the record itself, which no key-value may take the place of.
const OWN_FIELDS: [&str; 4] = ["at_ms", "level", "target", "message"];

/// Where log records go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Sends log records of `level` and above to `output`; later calls change nothing.
pub fn init_logging(level: LevelFilter, output: Output) {
    let target = match output {
        Output::Stdout => env_logger::Target::Stdout,
        Output::Stderr => env_logger::Target::Stderr,
    };
    let started = env_logger::Builder::new()
        .filter_level(level)
        .target(target)
        .format(|out, record| write_line(out, record, unix_ms()))
        .try_init();
    if started.is_err() {
        log::debug!("logging has been set up before");
    }
}

fn unix_ms() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}

/// Writes one record as one line.
fn write_line(out: &mut impl Write, record: &Record<'_>, at_ms: u64) -> io::Result<()> {
    let mut line = Map::new();
    line.insert(String::from("at_ms"), at_ms.into());
    line.insert(
        String::from("level"),
        record.level().as_str().to_ascii_lowercase().into(),
    );
    line.insert(String::from("target"), record.target().into());
    line.insert(String::from("message"), record.args().to_string().into());
    let mut fields = Fields(&mut line);
    // A value that cannot be shown is left out; the record is worth more than the field.
    drop(record.key_values().visit(&mut fields));
    serde_json::to_writer(&mut *out, &line)?;
    writeln!(out)
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let name = match key.as_str() {
            own if OWN_FIELDS.contains(&own) => format!("field_{own}"),
            name => name.to_owned(),
        };
        let shown = serde_json::to_value(&value);
        let shown = shown.unwrap_or_else(|_| Json::String(value.to_string()));
        self.0.insert(name, shown);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
