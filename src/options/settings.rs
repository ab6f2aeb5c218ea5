//! Checked settings: what the arguments and environment variables come to.

use std::path::PathBuf;

use clap::ArgMatches;
use clap_complete::Shell;
use log::LevelFilter;
use miette::Diagnostic;
use thiserror::Error;
use url::Url;

use super::reader::Reader;
use super::secret::Secret;
use super::serve::ServeSettings;

/// The most tokens that one request may ask for.
const MOST_TOKENS: u64 = 1_000_000;
/// The most connections that one request may try.
const MOST_ATTEMPTS: u64 = 1_000;

/// All settings of one run of the program.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Log records of this level and above are written.
    pub log_level: LevelFilter,
    /// What to do.
    pub action: Action,
}

/// What one run of the program does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a node.
    Serve(Box<ServeSettings>),
    /// Run a node on the operators' platform.
    Gateway {
        /// What the platform tells the node.
        settings_file: PathBuf,
    },
    /// Check a document without a node.
    ConfigCheck {
        /// The document.
        file: Input,
    },
    /// Put a document in force.
    ConfigApply {
        /// The node to ask.
        client: ClientSettings,
        /// The document.
        file: Input,
        /// The revision that it changes.
        base_revision: u64,
    },
    /// Print the document in force.
    ConfigShow {
        /// The node to ask.
        client: ClientSettings,
    },
    /// Print the state of the system.
    Status {
        /// The node to ask.
        client: ClientSettings,
        /// As JSON in place of tables.
        json: bool,
    },
    /// Print the audit trail.
    Audit {
        /// The node to ask.
        client: ClientSettings,
        /// The first offset.
        from: u64,
    },
    /// Send a request as a caller.
    Request {
        /// The first node to ask.
        client: ClientSettings,
        /// What to send.
        request: RequestSettings,
    },
    /// Tell the story of a request from logs.
    Explain {
        /// The request's id.
        id: String,
        /// The logs; never empty.
        logs: Vec<Input>,
    },
    /// Sum up from logs what requests were lost to.
    Losses {
        /// Length of the spans of time, in ms.
        span_ms: u64,
        /// The logs; never empty.
        logs: Vec<Input>,
    },
    /// Write completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Write a manual page.
    ManualPage {
        /// The subcommand and its own; the whole program if empty.
        subcommand: Vec<String>,
    },
}

/// Where a text comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Standard input.
    Standard,
    /// A file.
    File(PathBuf),
    /// The argument itself.
    Text(String),
}

/// How a client command reaches a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Nodes to ask, in order; never empty.
    pub node_urls: Vec<Url>,
    /// The bearer token.
    pub token: Option<Secret>,
}

/// What `request` sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// What is asked.
    pub content: RequestContent,
    /// Whether it may be repeated; the document decides if none.
    pub idempotent: Option<bool>,
    /// The caller's own key.
    pub idempotency_key: Option<String>,
    /// Connections that may fail or break before it is given up.
    pub attempts: u32,
}

/// What `request` asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestContent {
    /// Tokens of a model.
    Completion {
        /// The model's name.
        model: String,
        /// The prompt.
        prompt: Input,
        /// The most tokens.
        max_tokens: u32,
        /// The latency class, if not the team's own.
        latency_class: Option<String>,
    },
    /// A call to a plain service.
    Service {
        /// The service's name.
        name: String,
        /// The path under it.
        path: String,
        /// The body.
        body: Input,
    },
    /// The answer of an earlier request.
    Resume {
        /// Its id.
        id: String,
    },
}

/// What is wrong with one setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsFaultKind {
    /// It is not given.
    #[error("is missing; give {expected}")]
    Missing {
        /// What belongs here.
        expected: &'static str,
    },
    /// It cannot be read.
    #[error("is `{given}`, which is not {expected}")]
    Unreadable {
        /// What was given.
        given: String,
        /// What belongs here.
        expected: &'static str,
    },
    /// It is too small or too large.
    #[error("is {given}; it must lie between {least} and {most}")]
    OutOfRange {
        /// What was given.
        given: u64,
        /// The smallest value.
        least: u64,
        /// The largest value.
        most: u64,
    },
    /// Others cannot connect to this address.
    #[error("would be {given}, to which nobody can connect; give an address of this host")]
    Unreachable {
        /// The address.
        given: std::net::SocketAddr,
    },
    /// A secret that is too short to be one.
    #[error("has {given_bytes} bytes; a key has {least_bytes} or more")]
    ShortKey {
        /// Bytes given.
        given_bytes: usize,
        /// Bytes needed.
        least_bytes: usize,
    },
    /// A secret among the arguments, where the list of processes shows it.
    #[error("must not be an argument, which the list of processes shows; set {variable}")]
    SecretArgument {
        /// The environment variable to set.
        variable: &'static str,
    },
    /// It cannot be had together with another.
    #[error("cannot be used together with --{other}")]
    Conflict {
        /// The other setting.
        other: &'static str,
    },
}

/// One setting that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("--{flag} {kind}")]
#[diagnostic(help("environment variable: {}", variable(flag)))]
pub struct SettingsFault {
    /// The flag, without its dashes.
    pub flag: &'static str,
    /// What is wrong with it.
    pub kind: SettingsFaultKind,
}

/// Everything that is wrong with the settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{} setting(s) cannot be used", faults.len())]
#[diagnostic(
    code(teaselline::settings),
    help("Nothing has been started or changed.")
)]
pub struct SettingsFaults {
    /// The faults.
    #[related]
    pub faults: Vec<SettingsFault>,
}

/// The environment variable of a flag.
#[must_use]
pub fn variable(flag: &str) -> String {
    let name = flag.to_ascii_uppercase().replace('-', "_");
    format!("TEASELLINE_{name}")
}

impl TryFrom<&ArgMatches> for Settings {
    type Error = SettingsFaults;

    fn try_from(matches: &ArgMatches) -> Result<Self, SettingsFaults> {
        let mut faults = Vec::new();
        let log_level = Reader::new(matches, &mut faults).log_level("log-level");
        let action = read_action(matches, &mut faults);
        match action {
            Some(action) if faults.is_empty() => Ok(Self { log_level, action }),
            _ => Err(SettingsFaults { faults }),
        }
    }
}

fn read_action(matches: &ArgMatches, faults: &mut Vec<SettingsFault>) -> Option<Action> {
    let (name, matches) = matches.subcommand()?;
    let mut reader = Reader::new(matches, faults);
    let action = match name {
        "serve" => Action::Serve(Box::new(ServeSettings::read(&mut reader))),
        "gateway" => Action::Gateway {
            settings_file: PathBuf::from(
                reader.text("settings", "the file with the platform's settings"),
            ),
        },
        "status" => Action::Status {
            client: client(&mut reader),
            json: matches.get_flag("json"),
        },
        "audit" => Action::Audit {
            client: client(&mut reader),
            from: reader.integer("from", 0..=u64::MAX),
        },
        "explain" => Action::Explain {
            id: reader.text("id", "the id of a request"),
            logs: reader.files("logs"),
        },
        "losses" => Action::Losses {
            span_ms: reader.integer("span-ms", 1..=86_400_000),
            logs: reader.files("logs"),
        },
        "request" => Action::Request {
            client: client(&mut reader),
            request: request(&mut reader)?,
        },
        "config" => return read_config(matches, faults),
        "generate" => return read_generate(matches),
        _ => return None,
    };
    Some(action)
}

fn read_config(matches: &ArgMatches, faults: &mut Vec<SettingsFault>) -> Option<Action> {
    let (name, matches) = matches.subcommand()?;
    let mut reader = Reader::new(matches, faults);
    let action = match name {
        "check" => Action::ConfigCheck {
            file: reader.file("file")?,
        },
        "apply" => Action::ConfigApply {
            client: client(&mut reader),
            base_revision: reader.integer("base", 0..=u64::MAX),
            file: reader.file("file")?,
        },
        "show" => Action::ConfigShow {
            client: client(&mut reader),
        },
        _ => return None,
    };
    Some(action)
}

fn read_generate(matches: &ArgMatches) -> Option<Action> {
    let (name, matches) = matches.subcommand()?;
    match name {
        "completions" => {
            let shell = *matches.get_one::<Shell>("shell")?;
            Some(Action::Completions { shell })
        }
        "man" => {
            let names = matches.get_many::<String>("subcommand");
            let subcommand = names.into_iter().flatten().cloned().collect();
            Some(Action::ManualPage { subcommand })
        }
        _ => None,
    }
}

fn client(reader: &mut Reader<'_>) -> ClientSettings {
    ClientSettings {
        node_urls: reader.urls("node-url"),
        token: reader.optional_text("token").map(Secret::new),
    }
}

fn request(reader: &mut Reader<'_>) -> Option<RequestSettings> {
    let idempotent = reader.boolean("idempotent");
    let idempotency_key = reader.optional_text("idempotency-key");
    let attempts = reader.integer_u32("attempts", 1..=MOST_ATTEMPTS);
    let content = request_content(reader)?;
    Some(RequestSettings {
        content,
        idempotent,
        idempotency_key,
        attempts,
    })
}

fn request_content(reader: &mut Reader<'_>) -> Option<RequestContent> {
    let id = reader.optional_text("id");
    let service = reader.optional_text("service");
    let model = reader.optional_text("model");
    match (id, service, model) {
        (Some(_), Some(_), _) => reader.conflict("id", "service"),
        (Some(_), _, Some(_)) => reader.conflict("id", "model"),
        (_, Some(_), Some(_)) => reader.conflict("service", "model"),
        (Some(id), None, None) => Some(RequestContent::Resume { id }),
        (None, Some(name), None) => Some(RequestContent::Service {
            name,
            path: reader.optional_text("path").unwrap_or_default(),
            body: reader
                .text_input("body")
                .unwrap_or(Input::Text(String::new())),
        }),
        (None, None, Some(model)) => completion(reader, model),
        (None, None, None) => reader.missing("model", "the name of a model, or --service or --id"),
    }
}

fn completion(reader: &mut Reader<'_>, model: String) -> Option<RequestContent> {
    let max_tokens = reader.integer_u32("max-tokens", 1..=MOST_TOKENS);
    let latency_class = reader.optional_text("latency-class");
    let text = reader.text_input("prompt");
    let file = reader.optional_text("prompt-file");
    let prompt = match (text, file) {
        (Some(_), Some(_)) => reader.conflict("prompt", "prompt-file"),
        (Some(text), None) => Some(text),
        (None, Some(path)) => Some(Input::File(PathBuf::from(path))),
        (None, None) => reader.missing("prompt", "a prompt, or --prompt-file"),
    };
    Some(RequestContent::Completion {
        model,
        prompt: prompt?,
        max_tokens,
        latency_class,
    })
}
