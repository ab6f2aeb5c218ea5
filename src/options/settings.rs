//! Validated settings of a run, parsed from arguments and environment variables.

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

/// Maximum of `--max-tokens`.
const MAX_TOKENS: u64 = 1_000_000;
/// Maximum of `--attempts`.
const MAX_ATTEMPTS: u64 = 1_000;

/// All settings of one run of the program.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Minimum level of the log records that are written.
    pub log_level: LevelFilter,
    /// The action to run.
    pub action: Action,
}

/// The action of a subcommand, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a node.
    Serve(Box<ServeSettings>),
    /// Run a node on the operators' platform.
    Gateway {
        /// File with the platform's settings for the node.
        settings_file: PathBuf,
        /// Put requests in one order while a pool of engines is short of room.
        order_when_short: bool,
    },
    /// Validate a document without a node.
    ConfigCheck {
        /// The document.
        file: Input,
    },
    /// Activate a document.
    ConfigApply {
        /// Access to the nodes.
        client: ClientSettings,
        /// The document.
        file: Input,
        /// The revision that the document is based on.
        base_revision: u64,
    },
    /// Print the active document.
    ConfigShow {
        /// Access to the nodes.
        client: ClientSettings,
    },
    /// Print the state of the system.
    Status {
        /// Access to the nodes.
        client: ClientSettings,
        /// Print JSON instead of tables.
        json: bool,
    },
    /// Print the audit trail.
    Audit {
        /// Access to the nodes.
        client: ClientSettings,
        /// Offset in the trail of the first record to print.
        from: u64,
    },
    /// Send a request as a caller.
    Request {
        /// Access to the nodes.
        client: ClientSettings,
        /// The request to send.
        request: RequestSettings,
    },
    /// Print the timeline of a request from logs.
    Explain {
        /// Id of the request.
        id: String,
        /// The logs; never empty.
        logs: Vec<Input>,
    },
    /// Aggregate request outcomes from logs.
    Losses {
        /// Length of the time spans, in ms.
        span_ms: u64,
        /// The logs; never empty.
        logs: Vec<Input>,
    },
    /// Compare charges with limits from logs.
    Charges {
        /// Length of the sliding windows, in ms.
        window_ms: u64,
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
        /// Path of the subcommand, such as `config apply`; the whole program if empty.
        subcommand: Vec<String>,
    },
}

/// Source of an input text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Standard input.
    Standard,
    /// A file.
    File(PathBuf),
    /// The argument itself.
    Text(String),
}

/// Access of a client command to the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// URLs of the nodes, in the order in which they are tried; never empty.
    pub node_urls: Vec<Url>,
    /// The bearer token.
    pub token: Option<Secret>,
}

/// Settings of the subcommand `request`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Content of the request.
    pub content: RequestContent,
    /// Whether the request may run more than once; the document decides if `None`.
    pub idempotent: Option<bool>,
    /// Idempotency key chosen by the caller.
    pub idempotency_key: Option<String>,
    /// Number of failed or broken connections after which the request is abandoned.
    pub attempts: u32,
}

/// Content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestContent {
    /// A completion by a model.
    Completion {
        /// The model's name.
        model: String,
        /// The prompt.
        prompt: Input,
        /// Maximum number of tokens in the response.
        max_tokens: u32,
        /// The latency class; the team's default if `None`.
        latency_class: Option<String>,
    },
    /// A call to a plain service.
    Service {
        /// The service's name.
        name: String,
        /// Path relative to the service.
        path: String,
        /// Request body.
        body: Input,
    },
    /// The response of an earlier request.
    Resume {
        /// Id of the earlier request.
        id: String,
    },
}

/// Why a setting is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsFaultKind {
    /// A required setting is missing.
    #[error("is missing; give {expected}")]
    Missing {
        /// Description of an accepted value.
        expected: &'static str,
    },
    /// The value cannot be parsed.
    #[error("is `{given}`, which is not {expected}")]
    Malformed {
        /// The given value.
        given: String,
        /// Description of an accepted value.
        expected: &'static str,
    },
    /// The number is outside its range.
    #[error("is {given}; expected a number from {min} to {max}")]
    OutOfRange {
        /// The given value.
        given: u64,
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// The advertised address is unspecified, such as `0.0.0.0`, so no one can connect to it.
    #[error("would be {given}, which is not a connectable address; give an address of this host")]
    Unreachable {
        /// The address.
        given: std::net::SocketAddr,
    },
    /// The key is too short to be secure.
    #[error("has {given_bytes} bytes; expected a key of {min_bytes} bytes or more")]
    ShortKey {
        /// Length of the given key.
        given_bytes: usize,
        /// Minimum length of the key.
        min_bytes: usize,
    },
    /// A secret is given as an argument, which the list of processes shows.
    #[error("must not be an argument, which the list of processes shows; set {variable}")]
    SecretArgument {
        /// The environment variable to set instead.
        variable: &'static str,
    },
    /// The setting excludes another one that is also given.
    #[error("cannot be used together with --{other}")]
    Conflict {
        /// The other setting.
        other: &'static str,
    },
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("--{flag} {kind}")]
#[diagnostic(help("environment variable: {}", variable(flag)))]
pub struct SettingsFault {
    /// The flag, without its dashes.
    pub flag: &'static str,
    /// Why it is invalid.
    pub kind: SettingsFaultKind,
}

/// All faults of the settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{} invalid setting(s)", faults.len())]
#[diagnostic(
    code(teaselline::settings),
    help("Nothing has been started or changed.")
)]
pub struct SettingsFaults {
    /// The faults.
    #[related]
    pub faults: Vec<SettingsFault>,
}

/// Name of the environment variable of a flag.
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
            order_when_short: matches.get_flag("order-when-short"),
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
        "charges" => Action::Charges {
            window_ms: reader.integer("window-ms", 1..=86_400_000),
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
    let attempts = reader.integer_u32("attempts", 1..=MAX_ATTEMPTS);
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
    let max_tokens = reader.integer_u32("max-tokens", 1..=MAX_TOKENS);
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
