//! Carries out each subcommand but `serve`.

use std::io::{self, Write};

use bytes::Bytes;
use miette::Diagnostic;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use super::call::{Call, CallContent};
use super::caller::{Caller, Report};
use super::input::{self, InputError};
use super::operator::{Operator, OperatorError};
use super::policy::End;
use super::table;
use crate::document::{Document, DocumentFaults, RawDocument};
use crate::options::arguments::EXIT_CODE_USAGE;
use crate::options::settings::{Input, RequestContent, RequestSettings};
use crate::options::{Action, ClientSettings, generate};
use crate::telemetry;

/// Exit code for everything that is no fault of the settings or the document.
const EXIT_CODE_FAILURE: u8 = 1;
/// Exit code of `request` when it cannot be told whether the request ran.
const EXIT_CODE_UNKNOWN: u8 = 3;

/// Why a subcommand failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// An input could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Input(#[from] InputError),
    /// The document is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] DocumentFaults),
    /// Standard output could not be written, or no subcommand has this manual page.
    #[error("cannot write to standard output")]
    Output(#[from] io::Error),
    /// A node did not do what was asked.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] OperatorError),
    /// The request has no answer.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Unanswered(#[from] Unanswered),
    /// The logs say nothing of the request.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Explain(#[from] telemetry::explain::ExplainError),
    /// `serve` is no client command.
    #[error("a node is not run as a client command")]
    NotAClientCommand,
}

/// A request that ended without an answer.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
pub enum Unanswered {
    /// It did not run.
    #[error("not run: {reason}")]
    #[diagnostic(help("Nothing has been done; send it again whenever you like."))]
    NotRun {
        /// Why.
        reason: String,
    },
    /// It may have run.
    #[error("unknown: {reason}")]
    #[diagnostic(help(
        "It may have run, and is not run again under its id. Ask for its state with `teaselline request --id {id}`."
    ))]
    Unknown {
        /// Its id.
        id: String,
        /// Why.
        reason: String,
    },
    /// It ran and failed, or was cancelled.
    #[error("failed: {reason}")]
    Failed {
        /// Why.
        reason: String,
    },
    /// The call itself is at fault.
    #[error("the node rejects the call with {status}: {message}")]
    Rejected {
        /// The node's status.
        status: u16,
        /// What the node says.
        message: String,
    },
    /// The plain service answered with an error.
    #[error("the service answered with status {status}")]
    ServiceStatus {
        /// The status.
        status: u16,
    },
}

impl CommandError {
    /// The process's exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Input(_) | Self::Document(_) => EXIT_CODE_USAGE,
            Self::Operator(error) if error.is_invalid_document() => EXIT_CODE_USAGE,
            Self::Unanswered(Unanswered::Unknown { .. }) => EXIT_CODE_UNKNOWN,
            _ => EXIT_CODE_FAILURE,
        }
    }
}

/// The text of some logs, one after the other.
fn read_logs(logs: &[Input]) -> Result<String, CommandError> {
    let mut text = String::new();
    for log in logs {
        text.push_str(&input::read_text(log)?);
        text.push('\n');
    }
    Ok(text)
}

/// Prints what requests were lost to.
fn losses(span_ms: u64, logs: &[Input]) -> Result<(), CommandError> {
    let text = read_logs(logs)?;
    let losses = telemetry::losses::aggregate(&text, span_ms);
    write!(io::stdout(), "{losses}")?;
    Ok(())
}

/// Prints the story of a request.
fn explain(id: &str, logs: &[Input]) -> Result<(), CommandError> {
    let text = read_logs(logs)?;
    let timeline = telemetry::explain::explain(id, &text)?;
    write!(io::stdout(), "{timeline}")?;
    Ok(())
}

/// Carries out a subcommand.
///
/// # Errors
///
/// If an input is at fault or the node does not do what it was asked.
pub async fn run(action: Action) -> Result<(), CommandError> {
    match action {
        Action::Serve(_) | Action::Gateway { .. } => Err(CommandError::NotAClientCommand),
        Action::ConfigCheck { file } => check(&file),
        Action::ConfigApply {
            client,
            file,
            base_revision,
        } => apply(client, &file, base_revision).await,
        Action::ConfigShow { client } => show(client).await,
        Action::Status { client, json } => status(client, json).await,
        Action::Audit { client, from } => audit(client, from).await,
        Action::Request { client, request } => send(client, request).await,
        Action::Explain { id, logs } => explain(&id, &logs),
        Action::Losses { span_ms, logs } => losses(span_ms, &logs),
        Action::Completions { shell } => {
            generate::completions(shell, &mut io::stdout());
            Ok(())
        }
        Action::ManualPage { subcommand } => {
            Ok(generate::manual_page(&subcommand, &mut io::stdout())?)
        }
    }
}

fn check(file: &Input) -> Result<(), CommandError> {
    Document::parse(&input::read_text(file)?)?;
    Ok(writeln!(io::stdout(), "The document is valid.")?)
}

/// Checks the document here first: what is wrong with it is then told without a node.
async fn apply(
    client: ClientSettings,
    file: &Input,
    base_revision: u64,
) -> Result<(), CommandError> {
    let text = input::read_text(file)?;
    Document::parse(&text)?;
    let document = serde_json::from_str(&text).map_err(io::Error::from)?;
    let revision = Operator::new(client).apply(base_revision, document).await?;
    Ok(writeln!(io::stdout(), "Revision {revision} is in force.")?)
}

async fn show(client: ClientSettings) -> Result<(), CommandError> {
    let configuration = Operator::new(client).configuration().await?;
    writeln!(
        io::stderr(),
        "Revision {} is in force.",
        configuration.revision
    )?;
    // In the order of the fields' definition, which JSON objects do not keep.
    let text = match RawDocument::deserialize(&configuration.document) {
        Ok(document) => document.to_text(),
        Err(_) => format!("{:#}", configuration.document),
    };
    Ok(writeln!(io::stdout(), "{text}")?)
}

async fn status(client: ClientSettings, json: bool) -> Result<(), CommandError> {
    let status = Operator::new(client).status().await?;
    let text = if json {
        format!("{status:#}\n")
    } else {
        table::render(&status)
    };
    Ok(write!(io::stdout(), "{text}")?)
}

/// Prints the trail page by page, up to its end.
async fn audit(client: ClientSettings, mut from: u64) -> Result<(), CommandError> {
    let operator = Operator::new(client);
    loop {
        let page = operator.audit(from).await?;
        let records = page.get("records").and_then(Value::as_array);
        let next = page.get("next").and_then(Value::as_u64);
        match (records, next) {
            (Some(records), Some(next)) if !records.is_empty() && next > from => {
                write!(io::stdout(), "{}", table::rows_as_table(records))?;
                from = next;
            }
            (Some(_), _) => return Ok(()),
            (None, _) => {
                return Ok(write!(io::stdout(), "{}", table::render(&page))?);
            }
        }
    }
}

async fn send(client: ClientSettings, request: RequestSettings) -> Result<(), CommandError> {
    let caller = Caller::new(&client.node_urls, client.token)
        .with_limits(request.attempts, request.attempts);
    let mut out = io::stdout();
    let mut written = Ok(());
    let print = |_position: u64, token: &str| {
        let printed = out.write_all(token.as_bytes()).and_then(|()| out.flush());
        written = std::mem::replace(&mut written, Ok(())).and(printed);
    };
    let report = match request.content {
        RequestContent::Resume { id } => caller.resume(&id, 0, print).await,
        RequestContent::Completion {
            model,
            prompt,
            max_tokens,
            latency_class,
        } => {
            let content = CallContent::Completion {
                model,
                prompt: input::read_text(&prompt)?,
                max_tokens,
                latency_class,
            };
            let call = with_rules(content, request.idempotent, request.idempotency_key);
            let id = announced_id(&caller).await?;
            caller.call_under(id, &call, print).await
        }
        RequestContent::Service { name, path, body } => {
            let body = Bytes::from(input::read_bytes(&body)?);
            let content = CallContent::Service { name, path, body };
            let call = with_rules(content, request.idempotent, request.idempotency_key);
            let id = announced_id(&caller).await?;
            caller.call_under(id, &call, print).await
        }
    };
    written?;
    print_end(report)
}

/// Gets an id and prints it before anything is sent: whoever loses this process while the answer
/// comes needs the id to ask for the rest.
async fn announced_id(caller: &Caller) -> io::Result<Option<String>> {
    let id = caller.take_id().await;
    if let Some(id) = &id {
        writeln!(io::stderr(), "id {id}")?;
    }
    Ok(id)
}

fn with_rules(content: CallContent, idempotent: Option<bool>, key: Option<String>) -> Call {
    Call {
        content,
        idempotent,
        idempotency_key: key,
    }
}

/// Prints the id and what is left to print, or says why there is no answer.
fn print_end(report: Report) -> Result<(), CommandError> {
    let id = report.ids.last().cloned().unwrap_or_default();
    match report.end {
        End::Completed { tokens, finish } => {
            writeln!(io::stdout())?;
            Ok(writeln!(
                io::stderr(),
                "{tokens} tokens, finish {finish}, id {id}"
            )?)
        }
        End::Answered { status, body } => {
            io::stdout().write_all(&body)?;
            writeln!(io::stderr(), "status {status}, id {id}")?;
            match status {
                200..=299 => Ok(()),
                status => Err(Unanswered::ServiceStatus { status }.into()),
            }
        }
        end => Err(unanswered(end, id).into()),
    }
}

fn unanswered(end: End, id: String) -> Unanswered {
    let not_run = end.is_not_run();
    let unknown = end.is_unknown();
    let reason = match end {
        End::Rejected(rejection) => {
            return Unanswered::Rejected {
                status: rejection.status,
                message: rejection.message,
            };
        }
        End::Refused(refusal) => refusal.shown_reason().to_owned(),
        End::Unsent => String::from("no node could be reached"),
        _ => String::from("the connections failed too often"),
    };
    match (not_run, unknown) {
        (true, _) => Unanswered::NotRun { reason },
        (_, true) => Unanswered::Unknown { id, reason },
        _ => Unanswered::Failed { reason },
    }
}
