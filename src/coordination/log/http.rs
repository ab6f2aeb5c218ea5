//! The HTTP client of the log.

use serde::Deserialize;

use super::{AppendError, Log, NewRecord, Page, ReadError};
use crate::coordination::http::JsonClient;

/// A [`Log`] that calls the platform's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: JsonClient,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl HttpLog {
    /// Creates a log client on top of `client`.
    #[must_use]
    pub fn new(client: JsonClient) -> Self {
        Self { client }
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, record: &NewRecord) -> Result<u64, AppendError> {
        let url = self.client.url(&["v1", "streams", stream, "records"]);
        let appended: Appended = self.client.post(&url, record).await?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait_ms: u64,
    ) -> Result<Page, ReadError> {
        let mut url = self.client.url(&["v1", "streams", stream, "records"]);
        url.query_pairs_mut()
            .append_pair("from", &from.to_string())
            .append_pair("limit", &limit.to_string())
            .append_pair("wait_ms", &wait_ms.to_string());
        Ok(self.client.get(&url, wait_ms).await?)
    }
}
