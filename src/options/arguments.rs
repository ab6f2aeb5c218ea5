//! The command line as clap knows it: names, environment variables, defaults and help.
//!
//! Values are taken as text here and checked in [`super::settings`], so that all that is wrong
//! is told at once and in the same form, wherever a value came from.

use clap::{Arg, ArgAction, Command, ValueHint};

/// Exit code for bad settings and invalid documents, as clap uses for bad arguments.
pub const EXIT_CODE_USAGE: u8 = 2;

const ADDRESSES: &str = "Addresses";
const IDENTITY: &str = "Identity";
const PLATFORM: &str = "Platform";
const LIMITS: &str = "Limits";
const LOGS: &str = "Logs";
const ACCESS: &str = "Access";
const REQUEST: &str = "Request";

/// The whole command line.
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
                .help("Reads what the platform tells this node from this file, and again when it changes."),
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
            .help("Tells callers to connect to this address. Without it they are told the address of --listen."),
        flag("peer-advertise", "TEASELLINE_PEER_ADVERTISE", ADDRESSES)
            .value_name("IP:PORT")
            .help("Tells other nodes to connect to this address. Without it they are told the address of --peer-listen."),
        flag("heartbeat-advertise", "TEASELLINE_HEARTBEAT_ADVERTISE", ADDRESSES)
            .value_name("IP:PORT")
            .help("Tells other nodes to send heartbeats to this address. Without it they are told the address of --heartbeat-listen."),
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
            .help("Says which failure domain of the document this node runs in."),
        flag("region", "TEASELLINE_REGION", IDENTITY)
            .value_name("NAME")
            .help("Says which region this node runs in."),
        flag("fleet-key", "TEASELLINE_FLEET_KEY", IDENTITY)
            .value_name("KEY")
            .hide_env_values(true)
            .help("Proves to other nodes that this one belongs to them. It has 16 bytes or more and is taken from the environment variable only; as an argument it would show in the list of processes."),
    ]
}

fn serve_platform() -> Vec<Arg> {
    vec![
        flag("log-url", "TEASELLINE_LOG_URL", PLATFORM)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .help("Reaches the platform's log service here."),
        flag("log-retention-ms", "TEASELLINE_LOG_RETENTION_MS", PLATFORM)
            .value_name("MILLISECONDS")
            .help("Relies on the log service to keep records for this long, at least a minute. Without it an hour is assumed for renewing the configuration, and nothing for idempotency keys."),
        flag("cloud-url", "TEASELLINE_CLOUD_URL", PLATFORM)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .help("Reaches the platform's host list and cloud API here."),
        flag("weights-url", "TEASELLINE_WEIGHTS_URL", PLATFORM)
            .value_name("URL")
            .value_hint(ValueHint::Url)
            .help("Reaches the platform's weight store here."),
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
            .help("Serves at most this many connections of callers at once."),
        flag("max-body-bytes", "TEASELLINE_MAX_BODY_BYTES", LIMITS)
            .value_name("BYTES")
            .default_value("4194304")
            .help("Refuses request bodies that are longer than this."),
        flag("max-header-bytes", "TEASELLINE_MAX_HEADER_BYTES", LIMITS)
            .value_name("BYTES")
            .default_value("16384")
            .help("Refuses request headers that are longer than this, at least 8192."),
        flag("header-read-timeout-ms", "TEASELLINE_HEADER_READ_TIMEOUT_MS", LIMITS)
            .value_name("MILLISECONDS")
            .default_value("10000")
            .help("Closes a connection whose request headers take longer than this to arrive."),
        flag("drain-timeout-ms", "TEASELLINE_DRAIN_TIMEOUT_MS", LIMITS)
            .value_name("MILLISECONDS")
            .default_value("30000")
            .help("Waits at most this long at a planned stop for requests to end or move to another node."),
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
                .about("Checks a document without a node and lists every fault.")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Puts a document in force, unless another has been put in force since --base.")
                .arg(file())
                .arg(
                    flag("base", "TEASELLINE_BASE", REQUEST)
                        .value_name("REVISION")
                        .help("The revision that this document changes, as `config show` prints it; 0 if there is none yet."),
                )
                .args(access()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the document in force, and its revision to standard error.")
                .args(access()),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Prints nodes, upstreams, leaving hosts, leases and the revision in force.")
        .args(access())
        .arg(
            switch("json", "TEASELLINE_JSON", REQUEST)
                .help("Prints the node's answer as JSON in place of tables."),
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
                .help("Begins at this offset of the trail."),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells the story of one request from the logs of any number of nodes.")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Explains the request with this id."),
        )
        .arg(logs())
}

fn losses() -> Command {
    Command::new("losses")
        .about("Sums the logs of any number of nodes into what requests were lost to, by cause and time.")
        .arg(
            flag("span-ms", "TEASELLINE_SPAN_MS", REQUEST)
                .value_name("MS")
                .default_value("2000")
                .help("Sums by spans of this length. Where volume was bounded, lines of plain successes are missing first."),
        )
        .arg(logs())
}

fn logs() -> Arg {
    Arg::new("logs")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_hint(ValueHint::FilePath)
        .help("Reads these files of log lines; without any, or for -, standard input.")
}

fn request() -> Command {
    Command::new("request")
        .about("Sends one request as a caller, prints its answer as it comes, and resumes it on another node when a connection breaks.")
        .args(access())
        .args(request_content())
        .args(request_rules())
}

fn request_content() -> Vec<Arg> {
    vec![
        flag("model", "TEASELLINE_MODEL", REQUEST)
            .value_name("NAME")
            .help("Asks this model."),
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
            .help("Ends the answer after this many tokens."),
        flag("latency-class", "TEASELLINE_LATENCY_CLASS", REQUEST)
            .value_name("NAME")
            .help("Uses this latency class of the document in place of the team's own."),
        flag("service", "TEASELLINE_SERVICE", REQUEST)
            .value_name("NAME")
            .help("Calls this plain service in place of a model."),
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
            .help("Prints the answer of a request that was sent before, in place of sending one."),
    ]
}

fn request_rules() -> Vec<Arg> {
    vec![
        flag("idempotent", "TEASELLINE_IDEMPOTENT", REQUEST)
            .value_name("BOOLEAN")
            .help("Says with `false` that the request must run at most once, with `true` that it may be repeated. Without it the document decides."),
        flag("idempotency-key", "TEASELLINE_IDEMPOTENCY_KEY", REQUEST)
            .value_name("TEXT")
            .help("Sends a key of your own; of all requests with it one runs at most."),
        flag("attempts", "TEASELLINE_ATTEMPTS", REQUEST)
            .value_name("COUNT")
            .default_value("8")
            .help("Gives up after this many connections that failed or broke."),
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
            .help("Asks the node at this URL. Give several times, or separate by commas; the next is asked when one does not answer."),
        flag("token", "TEASELLINE_TOKEN", ACCESS)
            .value_name("TOKEN")
            .hide_env_values(true)
            .help("Proves with this bearer token who asks. Better set in the environment variable, since arguments show in the list of processes."),
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
                .about("Writes the manual page of a subcommand, or of the whole.")
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
