//! In-memory implementations of the platform's systems, with fault injection.

mod cloud;
mod log;

pub use cloud::{FakeCloud, OrderFault};
pub use log::{AppendFault, FakeLog};

use http::StatusCode;

use crate::coordination::http::{CallError, LostCause};

fn refused() -> CallError {
    CallError::Rejected {
        peer: "fake".to_owned(),
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "out".to_owned(),
        retry_after_ms: None,
    }
}

fn lost() -> CallError {
    CallError::ResponseLost {
        peer: "fake".to_owned(),
        source: LostCause::Timeout { timeout_ms: 0 },
    }
}
