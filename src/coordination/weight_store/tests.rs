use http::StatusCode;

use super::TicketError;
use crate::coordination::http::CallError;

fn store_error(status: StatusCode, retry_after_ms: Option<u64>) -> TicketError {
    TicketError::from(CallError::Rejected {
        peer: "store".to_owned(),
        status,
        reason: String::new(),
        retry_after_ms,
    })
}

#[test]
fn rate_limit_error_carries_a_retry_delay() {
    let over = store_error(StatusCode::TOO_MANY_REQUESTS, Some(2_500));
    assert_eq!(over.retry_after_ms(), Some(2_500));
    let silent = store_error(StatusCode::TOO_MANY_REQUESTS, None);
    assert_eq!(silent.retry_after_ms(), Some(super::RETRY_AFTER_MS));
    let out = store_error(StatusCode::SERVICE_UNAVAILABLE, None);
    assert!(matches!(out, TicketError::Call(_)));
}
