//! The scripts of the review's cases.

#![recursion_limit = "512"]

mod blocked;
mod client;
mod killer;
mod late_copies;
mod record;
mod server;
mod site;
mod template;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use killer::Trouble;
use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// A script may run for 120 seconds.
const LONGEST: Duration = Duration::from_secs(112);

pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn of(is_held: bool) -> Self {
        if is_held { Self::Held } else { Self::Broken }
    }
}

/// `review-drill CASE RECORD`, in the root of the repository; `TROUBLE=0` leaves the trouble out.
#[tokio::main]
async fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (case, path) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let Ok(record) = Record::create(&path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    let program = Path::new("target/release/teaselline");
    let chosen = async {
        match case.as_str() {
            "blocked" => blocked::run(program, &record, has_trouble).await,
            "template" => template::run(program, &record, has_trouble).await,
            "late-copies" => late_copies::run(program, &record, has_trouble).await,
            "killer" => {
                killer::run(
                    program,
                    &record,
                    if has_trouble {
                        Trouble::HerdKill
                    } else {
                        Trouble::None
                    },
                    3,
                    4,
                )
                .await
            }
            "dark-killer" => {
                killer::run(
                    program,
                    &record,
                    if has_trouble {
                        Trouble::Dark
                    } else {
                        Trouble::None
                    },
                    1,
                    6,
                )
                .await
            }
            _ => Ok(Verdict::CouldNotRun),
        }
    };
    // Dropping what runs ends all processes.
    let verdict = tokio::select! {
        verdict = chosen => verdict,
        () = tokio::time::sleep(LONGEST) => Ok(Verdict::CouldNotRun),
        () = told_to_stop() => Ok(Verdict::CouldNotRun),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(error) => {
            record.note(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

/// Waits until the script is interrupted.
async fn told_to_stop() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(_) => std::future::pending().await,
    }
}
