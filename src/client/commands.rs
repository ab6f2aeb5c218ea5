//! Runs the client subcommands: all but `serve` and `gateway`.

use std::io::{self, Write};

use bytes::Bytes;
use miette::Diagnostic;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use super::call::{Call, CallContent};
use super::caller::{CallReport, Caller};
use super::input::{self, InputError};
use super::operator::{Operator, OperatorError};
use super::policy::End;
use super::table;
use crate::document::{Document, DocumentFaults, RawDocument};
use crate::options::arguments::EXIT_CODE_USAGE;
use crate::options::settings::{Input, RequestContent, RequestSettings};
use crate::options::{Action, ClientSettings, generate};
use crate::telemetry;

/// Exit code for failures other than invalid inputs or documents.
const EXIT_CODE_FAILURE: u8 = 1;
/// Exit code of `request` if the request may have run without a known outcome.
const EXIT_CODE_UNKNOWN: u8 = 3;

/// Why a subcommand failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// An input could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Input(#[from] InputError),
    /// The document is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] DocumentFaults),
    /// Writing output failed, or there is no manual page for the subcommand.
    #[error("cannot write to standard output")]
    Output(#[from] io::Error),
    /// An operator's request failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] OperatorError),
    /// The request ended without a response.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Request(#[from] RequestError),
    /// The logs have no record of the request.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Explain(#[from] telemetry::explain::ExplainError),
    /// `serve` and `gateway` are not client commands.
    #[error("`serve` and `gateway` are not client commands")]
    NotClientCommand,
}

/// Why a request ended without a response.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
pub enum RequestError {
    /// The request did not run.
    #[error("not run: {reason}")]
    #[diagnostic(help("The request had no effect; it is safe to send it again."))]
    NotRun {
        /// Why.
        reason: String,
    },
    /// The request may have run.
    #[error("unknown: {reason}")]
    #[diagnostic(help(
        "The request may have run; it never runs again under its id. Query its outcome with `teaselline request --id {id}`."
    ))]
    Unknown {
        /// Id of the request.
        id: String,
        /// Why.
        reason: String,
    },
    /// The request ran and failed, or was cancelled.
    #[error("failed: {reason}")]
    Failed {
        /// Why.
        reason: String,
    },
    /// The node rejected the request as invalid.
    #[error("the node rejected the request with status {status}: {message}")]
    Rejected {
        /// Status code of the response.
        status: u16,
        /// First characters of the response body.
        message: String,
    },
    /// The plain service responded with an error status.
    #[error("the service responded with status {status}")]
    ServiceStatus {
        /// Status code of the response.
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
            Self::Request(RequestError::Unknown { .. }) => EXIT_CODE_UNKNOWN,
            _ => EXIT_CODE_FAILURE,
        }
    }
}

/// Reads the inputs and joins their text, each ended by a newline.
fn read_logs(logs: &[Input]) -> Result<String, CommandError> {
    let mut text = String::new();
    for log in logs {
        text.push_str(&input::read_text(log)?);
        text.push('\n');
    }
    Ok(text)
}

/// Prints the tables of request outcomes.
fn losses(span_ms: u64, logs: &[Input]) -> Result<(), CommandError> {
    let text = read_logs(logs)?;
    let losses = telemetry::losses::aggregate(&text, span_ms);
    write!(io::stdout(), "{losses}")?;
    Ok(())
}

fn charges(window_ms: u64, logs: &[Input]) -> Result<(), CommandError> {
    let text = read_logs(logs)?;
    let charges = telemetry::charges::aggregate(&text, window_ms);
    write!(io::stdout(), "{charges}")?;
    Ok(())
}

/// Prints the timeline of a request.
fn explain(id: &str, logs: &[Input]) -> Result<(), CommandError> {
    let text = read_logs(logs)?;
    let timeline = telemetry::explain::explain(id, &text)?;
    write!(io::stdout(), "{timeline}")?;
    Ok(())
}

/// Runs a client subcommand.
///
/// # Errors
///
/// If an input or document is invalid, a node's response is an error, or output fails.
pub async fn run(action: Action) -> Result<(), CommandError> {
    match action {
        Action::Serve(_) | Action::Gateway { .. } => Err(CommandError::NotClientCommand),
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
        Action::Charges { window_ms, logs } => charges(window_ms, &logs),
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

/// Validates the document locally, so that faults are reported without a node, then applies it.
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
    // `RawDocument` prints fields in the order of their definition; a JSON object does not keep it.
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

/// Prints the audit trail page by page.
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
            let call = new_call(content, request.idempotent, request.idempotency_key);
            let id = reserve_id(&caller).await?;
            caller.call_with_id(id, &call, print).await
        }
        RequestContent::Service { name, path, body } => {
            let body = Bytes::from(input::read_bytes(&body)?);
            let content = CallContent::Service { name, path, body };
            let call = new_call(content, request.idempotent, request.idempotency_key);
            let id = reserve_id(&caller).await?;
            caller.call_with_id(id, &call, print).await
        }
    };
    written?;
    print_report(report)
}

/// Reserves a request id and prints it to standard error before the request is sent.
///
/// If this process ends during the response, the user needs the id to resume.
async fn reserve_id(caller: &Caller) -> io::Result<Option<String>> {
    let id = caller.take_id().await;
    if let Some(id) = &id {
        writeln!(io::stderr(), "id {id}")?;
    }
    Ok(id)
}

fn new_call(content: CallContent, idempotent: Option<bool>, key: Option<String>) -> Call {
    Call {
        content,
        idempotent,
        idempotency_key: key,
    }
}

/// Prints the remaining output and the id, or returns why there is no response.
fn print_report(report: CallReport) -> Result<(), CommandError> {
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
                status => Err(RequestError::ServiceStatus { status }.into()),
            }
        }
        end => Err(request_error(end, id).into()),
    }
}

/// Converts the result of a call without response to an error.
fn request_error(end: End, id: String) -> RequestError {
    let not_run = end.is_not_run();
    let unknown = end.is_unknown();
    let reason = match end {
        End::Rejected(rejection) => {
            return RequestError::Rejected {
                status: rejection.status,
                message: rejection.message,
            };
        }
        End::Refused(refusal) => refusal.shown_reason().to_owned(),
        End::Unsent => String::from("no node could be reached"),
        _ => String::from("the connections failed too often"),
    };
    match (not_run, unknown) {
        (true, _) => RequestError::NotRun { reason },
        (_, true) => RequestError::Unknown { id, reason },
        _ => RequestError::Failed { reason },
    }
}
