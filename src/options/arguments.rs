//! Definition of the command line for clap: names, environment variables, defaults and help.
//!
//! Values stay text here and are validated in [`super::settings`], so that all invalid values are
//! reported together and in one format, whether they come from arguments or the environment.

use clap::{Arg, ArgAction, Command, ValueHint};

/// Exit code for invalid settings and documents; the same as clap's for invalid arguments.
pub const EXIT_CODE_USAGE: u8 = 2;

const ADDRESSES: &str = "Addresses";
const IDENTITY: &str = "Identity";
const PLATFORM: &str = "Platform";
const LIMITS: &str = "Limits";
const LOGS: &str = "Logs";
const ACCESS: &str = "Access";
const REQUEST: &str = "Request";

/// The definition of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("teaselline")
        .version(clap::crate_version!())
        .about("Serves language models on reclaimable hosts.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            flag("log-level", "TEASELLINE_LOG_LEVEL", LOGS)
                .global(true)
                .value_name("LEVEL")
                .default_value("info")
                .help("Writes log records of this level and above: off, error, warn, info, debug or trace."),
        )
        .subcommand(serve())
        .subcommand(gateway())
        .subcommand(config())
        .subcommand(status())
        .subcommand(audit())
        .subcommand(request())
        .subcommand(explain())
        .subcommand(losses())
        .subcommand(charges())
        .subcommand(generate())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs one node.")
        .args(serve_addresses())
        .args(serve_identity())
        .args(serve_platform())
        .args(serve_limits())
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Runs one node on the operators' platform.")
        .arg(
            flag("settings", "TEASELLINE_SETTINGS", PLATFORM)
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("Reads the platform's settings for this node from this file, and reloads them when it changes."),
        )
        .arg(
            switch("order-when-short", "TEASELLINE_ORDER_WHEN_SHORT", LIMITS)
                .help("Puts requests in one order over all nodes while a pool of engines has less room than callers ask for: by the teams' limits, then by urgency. Off by default, while findings of its review are open; give it to all nodes."),
        )
}

fn serve_addresses() -> Vec<Arg> {
    vec![
        flag("listen", "TEASELLINE_LISTEN", ADDRESSES)
            .value_name("IP:PORT")
            .default_value("127.0.0.1:8080")
            .help("Listens here for callers and operators."),
        flag("peer-listen", "TEASELLINE_PEER_LISTEN", ADDRESSES)
            .value_name("IP:PORT")
            .default_value("127.0.0.1:8081")
            .help("Listens here for other nodes, over TCP."),
        flag("heartbeat-listen", "TEASELLINE_HEARTBEAT_LISTEN", ADDRESSES)
            .value_name("IP:PORT")
            .default_value("127.0.0.1:8082")
            .help("Listens here for heartbeats of other nodes, over UDP."),
        flag("advertise", "TEASELLINE_ADVERTISE", ADDRESSES)
            .value_name("IP:PORT")
            .help("Advertises this address to callers. Without it the address of --listen is advertised."),
        flag("peer-advertise", "TEASELLINE_PEER_ADVERTISE", ADDRESSES)
            .value_name("IP:PORT")
            .help("Advertises this address to other nodes, for connections. Without it the address of --peer-listen is advertised."),
        flag("heartbeat-advertise", "TEASELLINE_HEARTBEAT_ADVERTISE", ADDRESSES)
            .value_name("IP:PORT")
            .help("Advertises this address to other nodes, for heartbeats. Without it the address of --heartbeat-listen is advertised."),
        flag("seed", "TEASELLINE_SEED", ADDRESSES)
            .value_name("IP:PORT")
            .action(ArgAction::Append)
            .value_delimiter(',')
            .help("Finds the other nodes through the node with this heartbeat address. Give several times, or separate by commas."),
    ]
}

fn serve_identity() -> Vec<Arg> {
    vec![
        flag("name", "TEASELLINE_NAME", IDENTITY)
            .value_name("NAME")
            .help("Names this node in logs, status and the audit trail."),
        flag("failure-domain", "TEASELLINE_FAILURE_DOMAIN", IDENTITY)
            .value_name("NAME")
            .help("Sets the failure domain of the configuration document that this node runs in."),
        flag("region", "TEASELLINE_REGION", IDENTITY)
            .value_name("NAME")
            .help("Sets the region that this node runs in."),
        flag("fleet-key", "TEASELLINE_FLEET_KEY", IDENTITY)
            .value_name("KEY")
            .hide_env_values(true)
            .help("Authenticates this node to the other nodes of the fleet. The key has 16 bytes or more and is read from the environment variable only; as an argument it would show in the list of processes."),
    ]
}

fn serve_platform() -> Vec<Arg> {
    vec![
        flag("log-url", "TEASELLINE_LOG_URL", PLATFORM)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .help("Connects to the platform's log service at this URL."),
        flag("log-retention-ms", "TEASELLINE_LOG_RETENTION_MS", PLATFORM)
            .value_name("MILLISECONDS")
            .help("Sets the time for which the log service retains records, at least a minute. Without it an hour is assumed for renewing the configuration, and no retention for idempotency keys."),
        flag("cloud-url", "TEASELLINE_CLOUD_URL", PLATFORM)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .help("Connects to the platform's host list and cloud API at this URL."),
        flag("weights-url", "TEASELLINE_WEIGHTS_URL", PLATFORM)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .help("Connects to the platform's weight store at this URL."),
    ]
}

fn serve_limits() -> Vec<Arg> {
    vec![
        flag("threads", "TEASELLINE_THREADS", LIMITS)
            .value_name("COUNT")
            .default_value("2")
            .help("Runs this many worker threads, from 1 to 256."),
        flag("max-connections", "TEASELLINE_MAX_CONNECTIONS", LIMITS)
            .value_name("COUNT")
            .default_value("16384")
            .help("Serves at most this many concurrent connections of callers."),
        flag("max-body-bytes", "TEASELLINE_MAX_BODY_BYTES", LIMITS)
            .value_name("BYTES")
            .default_value("4194304")
            .help("Rejects request bodies that are longer than this."),
        flag("max-header-bytes", "TEASELLINE_MAX_HEADER_BYTES", LIMITS)
            .value_name("BYTES")
            .default_value("16384")
            .help("Rejects request headers that are longer than this, at least 8192."),
        flag("header-read-timeout-ms", "TEASELLINE_HEADER_READ_TIMEOUT_MS", LIMITS)
            .value_name("MILLISECONDS")
            .default_value("10000")
            .help("Closes a connection whose request headers take longer than this to arrive."),
        flag("body-read-timeout-ms", "TEASELLINE_BODY_READ_TIMEOUT_MS", LIMITS)
            .value_name("MILLISECONDS")
            .default_value("60000")
            .help("Rejects a request whose body takes longer than this to arrive."),
        flag("memory-mb", "TEASELLINE_MEMORY_MB", LIMITS)
            .value_name("MEGABYTES")
            .default_value("2048")
            .help("Keeps what callers send within an eighth of this much memory, and their connections within another."),
        flag("max-descriptors", "TEASELLINE_MAX_DESCRIPTORS", LIMITS)
            .value_name("COUNT")
            .default_value("65536")
            .help("Gives callers three eighths of this many descriptors, less 200 for files."),
        flag("drain-timeout-ms", "TEASELLINE_DRAIN_TIMEOUT_MS", LIMITS)
            .value_name("MILLISECONDS")
            .default_value("30000")
            .help("Waits at most this long at a graceful shutdown for requests to end or move to another node."),
    ]
}

fn config() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .value_hint(ValueHint::FilePath)
            .help("The document, as JSON; - reads standard input.")
    };
    Command::new("config")
        .about("Checks, changes or shows the configuration document.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Validates a document without a node and lists every fault.")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Activates a document, unless another has been activated since --base.")
                .arg(file())
                .arg(
                    flag("base", "TEASELLINE_BASE", REQUEST)
                        .value_name("REVISION")
                        .help("The revision that this document is based on, as `config show` prints it; 0 if there is none yet."),
                )
                .args(access()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the active document, and its revision to standard error.")
                .args(access()),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Prints nodes, upstreams, leaving hosts, leases and the active revision.")
        .args(access())
        .arg(
            switch("json", "TEASELLINE_JSON", REQUEST)
                .help("Prints the node's response as JSON instead of tables."),
        )
}

fn audit() -> Command {
    Command::new("audit")
        .about("Prints the audit trail of changes and orders.")
        .args(access())
        .arg(
            flag("from", "TEASELLINE_FROM", REQUEST)
                .value_name("OFFSET")
                .default_value("0")
                .help("Starts at this offset of the audit trail."),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Prints the timeline of one request from the logs of any number of nodes.")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Prints the timeline of the request with this id."),
        )
        .arg(logs())
}

fn losses() -> Command {
    Command::new("losses")
        .about("Aggregates the logs of any number of nodes into tables of request outcomes, by cause and by time.")
        .arg(
            flag("span-ms", "TEASELLINE_SPAN_MS", REQUEST)
                .value_name("MS")
                .default_value("2000")
                .help("Aggregates by time spans of this length. If log lines were rate limited, those of successful requests are missing first."),
        )
        .arg(logs())
}

fn charges() -> Command {
    Command::new("charges")
        .about("Compares what teams were charged, in the logs of any number of nodes, with what a window allows.")
        .arg(
            flag("window-ms", "TEASELLINE_WINDOW_MS", REQUEST)
                .value_name("MS")
                .default_value("8000")
                .help("Sums the charges of each team over sliding windows of this length. If log lines were rate limited, charges are missing."),
        )
        .arg(logs())
}

fn logs() -> Arg {
    Arg::new("logs")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_hint(ValueHint::FilePath)
        .help("Reads log lines from these files; from standard input without a file or for -.")
}

fn request() -> Command {
    Command::new("request")
        .about("Sends one request as a caller, streams its response to standard output, and resumes it on another node when a connection breaks.")
        .args(access())
        .args(request_content())
        .args(request_rules())
}

fn request_content() -> Vec<Arg> {
    vec![
        flag("model", "TEASELLINE_MODEL", REQUEST)
            .value_name("NAME")
            .help("Sends the prompt to this model."),
        flag("prompt", "TEASELLINE_PROMPT", REQUEST)
            .value_name("TEXT")
            .help("Sends this prompt; - reads it from standard input."),
        flag("prompt-file", "TEASELLINE_PROMPT_FILE", REQUEST)
            .value_name("FILE")
            .value_hint(ValueHint::FilePath)
            .help("Sends the content of this file as the prompt."),
        flag("max-tokens", "TEASELLINE_MAX_TOKENS", REQUEST)
            .value_name("TOKENS")
            .default_value("256")
            .help("Limits the response to this many tokens."),
        flag("latency-class", "TEASELLINE_LATENCY_CLASS", REQUEST)
            .value_name("NAME")
            .help("Uses this latency class of the document instead of the team's default."),
        flag("service", "TEASELLINE_SERVICE", REQUEST)
            .value_name("NAME")
            .help("Calls this plain service instead of a model."),
        flag("path", "TEASELLINE_PATH", REQUEST)
            .value_name("PATH")
            .default_value("")
            .help("Calls this path of the service."),
        flag("body", "TEASELLINE_BODY", REQUEST)
            .value_name("TEXT")
            .default_value("")
            .help("Sends this body to the service; - reads it from standard input."),
        flag("id", "TEASELLINE_ID", REQUEST)
            .value_name("ID")
            .help("Prints the response of an earlier request instead of sending a new one."),
    ]
}

fn request_rules() -> Vec<Arg> {
    vec![
        flag("idempotent", "TEASELLINE_IDEMPOTENT", REQUEST)
            .value_name("BOOLEAN")
            .help("Allows the request to run more than once with `true`, or at most once with `false`. Without it the document decides."),
        flag("idempotency-key", "TEASELLINE_IDEMPOTENCY_KEY", REQUEST)
            .value_name("TEXT")
            .help("Sends this idempotency key; at most one of the requests with the same key runs."),
        flag("attempts", "TEASELLINE_ATTEMPTS", REQUEST)
            .value_name("COUNT")
            .default_value("8")
            .help("Gives up after this many failed or broken connections."),
    ]
}

fn access() -> Vec<Arg> {
    vec![
        flag("node-url", "TEASELLINE_NODE_URL", ACCESS)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .action(ArgAction::Append)
            .value_delimiter(',')
            .default_value("http://127.0.0.1:8080")
            .help("Sends requests to the node at this URL. Give several times, or separate by commas; the next is tried when one does not respond."),
        flag("token", "TEASELLINE_TOKEN", ACCESS)
            .value_name("TOKEN")
            .hide_env_values(true)
            .help("Authenticates with this bearer token. Prefer the environment variable, since arguments show in the list of processes."),
    ]
}

fn generate() -> Command {
    Command::new("generate")
        .about("Writes shell completions or the manual page to standard output.")
        .hide(true)
        .subcommand_required(true)
        .subcommand(
            Command::new("completions")
                .about("Writes completions for a shell.")
                .arg(
                    Arg::new("shell")
                        .value_name("SHELL")
                        .required(true)
                        .value_parser(clap::value_parser!(clap_complete::Shell))
                        .help("The shell."),
                ),
        )
        .subcommand(
            Command::new("man")
                .about("Writes the manual page of a subcommand, or of the whole program.")
                .arg(
                    Arg::new("subcommand")
                        .value_name("SUBCOMMAND")
                        .num_args(0..)
                        .help("The subcommand, such as `config apply`."),
                ),
        )
}

fn flag(name: &'static str, variable: &'static str, heading: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable)
        .help_heading(heading)
}

fn switch(name: &'static str, variable: &'static str, heading: &'static str) -> Arg {
    flag(name, variable, heading).action(ArgAction::SetTrue)
}
