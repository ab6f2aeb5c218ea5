//! Logger that writes each record as one line of JSON.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;
use serde_json::{Map, Value as Json};

use super::limits::RateLimits;
use super::queue::Queue;

/// Keys of the record's own fields; a key-value with such a key gets the prefix `field_`.
const RECORD_FIELDS: [&str; 4] = ["at_ms", "level", "target", "message"];

/// Destination of the log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Installs the logger for records of `level` and above; has no effect if one is installed.
///
/// Standard output is written by a separate thread and is rate limited per kind of line; standard
/// error is written directly and without limits.
pub fn init_logging(level: LevelFilter, output: Output) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_level(level)
        .format(|out, record| write_line(out, record, unix_ms()));
    let installed = match output {
        Output::Stderr => builder.target(env_logger::Target::Stderr).try_init(),
        Output::Stdout => {
            let queue = Queue::start(io::stdout());
            let target = env_logger::Target::Pipe(Box::new(queue));
            let logger = builder.target(target).build();
            let limited = RateLimitedLogger {
                logger,
                limits: Mutex::default(),
                reported_at_ms: AtomicU64::new(0),
            };
            log::set_boxed_logger(Box::new(limited)).inspect(|()| log::set_max_level(level))
        }
    };
    if installed.is_err() {
        log::debug!("a logger is already installed; keeping it");
    }
}

/// Minimum time between two reports of dropped lines.
const DROP_REPORT_INTERVAL_MS: u64 = 5_000;

/// A logger that drops lines over the rate limit of their kind.
#[derive(Debug)]
struct RateLimitedLogger {
    logger: env_logger::Logger,
    limits: Mutex<RateLimits>,
    reported_at_ms: AtomicU64,
}

impl Log for RateLimitedLogger {
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
        let reported_at_ms = self.reported_at_ms.load(Ordering::Relaxed);
        if now_ms.saturating_sub(reported_at_ms) >= DROP_REPORT_INTERVAL_MS {
            self.reported_at_ms.store(now_ms, Ordering::Relaxed);
            self.report_dropped();
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

impl RateLimitedLogger {
    /// Logs the number of dropped lines of each kind since the previous report.
    fn report_dropped(&self) {
        let dropped = self.limits.lock().take_dropped_counts();
        for (kind, count) in dropped {
            let fields = [
                ("event", Value::from("log_lines_left_out")),
                ("reason", Value::from("volume")),
                ("kind", Value::from(kind.as_str())),
                ("count", Value::from(count)),
            ];
            let record = Record::builder()
                .args(format_args!("log lines dropped by the rate limit"))
                .level(Level::Warn)
                .target(module_path!())
                .key_values(&fields)
                .build();
            self.logger.log(&record);
        }
    }
}

/// The kind of a line: its event, with `/` and its outcome if it has one, or else its target.
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

/// Writes a record as one line of JSON.
fn write_line(out: &mut impl Write, record: &Record<'_>, at_ms: u64) -> io::Result<()> {
    let mut line = Map::new();
    line.insert(String::from("at_ms"), at_ms.into());
    line.insert(
        String::from("level"),
        record.level().as_str().to_ascii_lowercase().into(),
    );
    line.insert(String::from("target"), record.target().into());
    line.insert(String::from("message"), record.args().to_string().into());
    let mut visitor = FieldVisitor(&mut line);
    // After an error the record is written without the remaining fields, not dropped.
    drop(record.key_values().visit(&mut visitor));
    serde_json::to_writer(&mut *out, &line)?;
    writeln!(out)
}

/// Adds each key-value of a record to its JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let name = match key.as_str() {
            own if RECORD_FIELDS.contains(&own) => format!("field_{own}"),
            name => name.to_owned(),
        };
        let json = serde_json::to_value(&value);
        let json = json.unwrap_or_else(|_| Json::String(value.to_string()));
        self.0.insert(name, json);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
