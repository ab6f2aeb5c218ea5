//! Parses and validates single settings from clap's matches, and collects the faults.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;

use clap::ArgMatches;
use clap::parser::ValueSource;
use log::LevelFilter;
use url::Url;

use super::secret::Secret;
use super::settings::{Input, SettingsFault, SettingsFaultKind};

/// Argument that selects standard input instead of a file or text.
const STANDARD_INPUT: &str = "-";

/// Reads the settings of one subcommand.
///
/// An invalid setting adds a fault and yields a placeholder value; the caller must discard all values
/// if there are faults.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    matches: &'a ArgMatches,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> Reader<'a> {
    pub fn new(matches: &'a ArgMatches, faults: &'a mut Vec<SettingsFault>) -> Self {
        Self { matches, faults }
    }

    /// Adds a fault.
    pub fn fault(&mut self, flag: &'static str, kind: SettingsFaultKind) {
        self.faults.push(SettingsFault { flag, kind });
    }

    /// Adds a fault: a required setting is missing.
    pub fn missing<T>(&mut self, flag: &'static str, expected: &'static str) -> Option<T> {
        self.fault(flag, SettingsFaultKind::Missing { expected });
        None
    }

    /// Adds a fault: two settings exclude each other.
    pub fn conflict<T>(&mut self, flag: &'static str, other: &'static str) -> Option<T> {
        self.fault(flag, SettingsFaultKind::Conflict { other });
        None
    }

    /// An optional text; an empty text counts as absent.
    ///
    /// Environment variables are often cleared by setting them to an empty text.
    pub fn optional_text(&self, flag: &str) -> Option<String> {
        let text = self.matches.get_one::<String>(flag)?;
        (!text.is_empty()).then(|| text.clone())
    }

    pub fn text(&mut self, flag: &'static str, expected: &'static str) -> String {
        let text = self.optional_text(flag);
        text.or_else(|| self.missing(flag, expected))
            .unwrap_or_default()
    }

    /// An optional text, or `-` for standard input.
    pub fn text_input(&self, flag: &str) -> Option<Input> {
        self.optional_text(flag).map(|text| match text.as_str() {
            STANDARD_INPUT => Input::Standard,
            _ => Input::Text(text),
        })
    }

    /// A required file, or `-` for standard input.
    pub fn file(&mut self, flag: &'static str) -> Option<Input> {
        let path = self.optional_text(flag);
        let path = path.or_else(|| self.missing(flag, "a file"))?;
        Some(match path.as_str() {
            STANDARD_INPUT => Input::Standard,
            _ => Input::File(PathBuf::from(path)),
        })
    }

    /// Any number of files, or `-` for standard input, which is also the default.
    pub fn files(&self, flag: &str) -> Vec<Input> {
        let given = self.matches.get_many::<String>(flag).into_iter().flatten();
        let mut files: Vec<Input> = given
            .map(|path| match path.as_str() {
                STANDARD_INPUT => Input::Standard,
                _ => Input::File(PathBuf::from(path)),
            })
            .collect();
        if files.is_empty() {
            files.push(Input::Standard);
        }
        files
    }

    pub fn optional_address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let text = self.optional_text(flag)?;
        self.parse(flag, &text, "an IP address and port, such as 10.0.0.7:8080")
    }

    pub fn address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        match self.optional_text(flag) {
            Some(_) => self.optional_address(flag),
            None => self.missing(flag, "an IP address and port"),
        }
    }

    pub fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let expected = "an IP address and port, such as 10.0.0.7:8082";
        self.parse_many(flag, expected)
    }

    pub fn url(&mut self, flag: &'static str) -> Option<Url> {
        match self.optional_text(flag) {
            Some(text) => {
                let url = self.parse(flag, &text, "a URL, such as http://10.0.0.9:7000")?;
                self.http_url(flag, url)
            }
            None => self.missing(flag, "a URL, such as http://10.0.0.9:7000"),
        }
    }

    pub fn urls(&mut self, flag: &'static str) -> Vec<Url> {
        let urls: Vec<Url> = self.parse_many(flag, "a URL, such as http://10.0.0.7:8080");
        let given = self.matches.get_many::<String>(flag).is_some();
        if !given {
            self.missing::<()>(flag, "a URL, such as http://10.0.0.7:8080");
        }
        (urls.into_iter())
            .filter_map(|url| self.http_url(flag, url))
            .collect()
    }

    pub fn integer(&mut self, flag: &'static str, range: RangeInclusive<u64>) -> u64 {
        let Some(text) = self.optional_text(flag) else {
            self.missing::<()>(flag, "a whole number");
            return 0;
        };
        match self.parse(flag, &text, "a whole number") {
            Some(given) if range.contains(&given) => given,
            Some(given) => {
                let (min, max) = range.into_inner();
                self.fault(flag, SettingsFaultKind::OutOfRange { given, min, max });
                0
            }
            None => 0,
        }
    }

    /// An optional whole number within `range`.
    pub fn optional_integer(
        &mut self,
        flag: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.optional_text(flag)?;
        Some(self.integer(flag, range))
    }

    pub fn integer_u32(&mut self, flag: &'static str, range: RangeInclusive<u64>) -> u32 {
        u32::try_from(self.integer(flag, range)).unwrap_or(u32::MAX)
    }

    pub fn integer_usize(&mut self, flag: &'static str, range: RangeInclusive<u64>) -> usize {
        usize::try_from(self.integer(flag, range)).unwrap_or(usize::MAX)
    }

    pub fn boolean(&mut self, flag: &'static str) -> Option<bool> {
        let text = self.optional_text(flag)?;
        self.parse(flag, &text, "true or false")
    }

    pub fn log_level(&mut self, flag: &'static str) -> LevelFilter {
        let expected = "off, error, warn, info, debug or trace";
        let text = self.text(flag, expected);
        let level = self.parse(flag, &text, expected);
        level.unwrap_or(LevelFilter::Info)
    }

    /// A required secret key of at least `min_bytes`, accepted from the environment variable only.
    pub fn environment_key(&mut self, flag: &'static str, min_bytes: usize) -> Secret {
        let source = self.matches.value_source(flag);
        let text = self.optional_text(flag).unwrap_or_default();
        let given_bytes = text.len();
        match source {
            Some(ValueSource::CommandLine) => {
                let variable = "TEASELLINE_FLEET_KEY";
                self.fault(flag, SettingsFaultKind::SecretArgument { variable });
            }
            _ if given_bytes == 0 => {
                self.missing::<()>(flag, "a key in the environment variable");
            }
            _ if given_bytes < min_bytes => {
                let kind = SettingsFaultKind::ShortKey {
                    given_bytes,
                    min_bytes,
                };
                self.fault(flag, kind);
            }
            _ => {}
        }
        Secret::new(text)
    }

    fn http_url(&mut self, flag: &'static str, url: Url) -> Option<Url> {
        match url.scheme() {
            "http" if url.has_host() => Some(url),
            _ => {
                let given = url.into();
                let expected = "an http URL with a host";
                self.fault(flag, SettingsFaultKind::Malformed { given, expected });
                None
            }
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        flag: &'static str,
        text: &str,
        expected: &'static str,
    ) -> Option<T> {
        let parsed = text.trim().parse().ok();
        if parsed.is_none() {
            let given = text.to_owned();
            self.fault(flag, SettingsFaultKind::Malformed { given, expected });
        }
        parsed
    }

    fn parse_many<T: FromStr>(&mut self, flag: &'static str, expected: &'static str) -> Vec<T> {
        let texts = self.matches.get_many::<String>(flag);
        (texts.into_iter().flatten())
            .filter(|text| !text.is_empty())
            .filter_map(|text| self.parse(flag, text, expected))
            .collect()
    }
}
