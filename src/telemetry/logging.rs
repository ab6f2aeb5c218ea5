//! Log records as JSON, one a line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;
use serde_json::{Map, Value as Json};

use super::limits::Limits;
use super::queue::Queue;

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
///
/// Standard output is written by a thread of its own, and the volume of each kind of line is
/// bounded there.
pub fn init_logging(level: LevelFilter, output: Output) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_level(level)
        .format(|out, record| write_line(out, record, unix_ms()));
    let started = match output {
        Output::Stderr => builder.target(env_logger::Target::Stderr).try_init(),
        Output::Stdout => {
            let queue = Queue::start(io::stdout());
            let target = env_logger::Target::Pipe(Box::new(queue));
            let logger = builder.target(target).build();
            let bounded = Bounded {
                logger,
                limits: Mutex::default(),
                told_ms: AtomicU64::new(0),
            };
            log::set_boxed_logger(Box::new(bounded)).inspect(|()| log::set_max_level(level))
        }
    };
    if started.is_err() {
        log::debug!("logging has been set up before");
    }
}

/// Between two lines that tell how many lines were left out.
const LEFT_OUT_INTERVAL_MS: u64 = 5_000;

/// A logger whose volume is bounded by kind of line.
#[derive(Debug)]
struct Bounded {
    logger: env_logger::Logger,
    limits: Mutex<Limits>,
    told_ms: AtomicU64,
}

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.logger.matches(record) {
            return;
        }
        let now_ms = unix_ms();
        if self.limits.lock().admit(&kind(record), now_ms) {
            self.logger.log(record);
        }
        let told_ms = self.told_ms.load(Ordering::Relaxed);
        if now_ms.saturating_sub(told_ms) >= LEFT_OUT_INTERVAL_MS {
            self.told_ms.store(now_ms, Ordering::Relaxed);
            self.tell_left_out();
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

impl Bounded {
    fn tell_left_out(&self) {
        let left_out = self.limits.lock().take_left_out();
        for (kind, count) in left_out {
            let fields = [
                ("event", Value::from("log_lines_left_out")),
                ("reason", Value::from("volume")),
                ("kind", Value::from(kind.as_str())),
                ("count", Value::from(count)),
            ];
            let record = Record::builder()
                .args(format_args!("lines were left out"))
                .level(Level::Warn)
                .target(module_path!())
                .key_values(&fields)
                .build();
            self.logger.log(&record);
        }
    }
}

/// The kind of a line: its event and, if it has one, its outcome.
fn kind(record: &Record<'_>) -> String {
    let fields = record.key_values();
    let text = |name: &str| fields.get(Key::from(name)).map(|value| value.to_string());
    match (text("event"), text("outcome")) {
        (Some(event), Some(outcome)) => format!("{event}/{outcome}"),
        (Some(event), None) => event,
        (None, _) => record.target().to_owned(),
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
