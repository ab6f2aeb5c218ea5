//! The HTTP client of the cloud API.

use serde::Deserialize;

use super::{Cloud, CloudError, HostList, NewPurchase, Notices, Price, Purchase};
use crate::coordination::http::JsonClient;

/// A [`Cloud`] that calls the platform's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    client: JsonClient,
}

#[derive(Deserialize)]
struct Bought {
    host: String,
}

#[derive(Deserialize)]
struct Purchases {
    purchases: Vec<Purchase>,
}

#[derive(Deserialize)]
struct Prices {
    prices: Vec<Price>,
}

impl HttpCloud {
    /// Creates a cloud client on top of `client`.
    #[must_use]
    pub fn new(client: JsonClient) -> Self {
        Self { client }
    }
}

impl Cloud for HttpCloud {
    async fn hosts(&self) -> Result<HostList, CloudError> {
        let url = self.client.url(&["v1", "hosts"]);
        Ok(self.client.get(&url, 0).await?)
    }

    async fn notices(&self, from: u64, wait_ms: u64) -> Result<Notices, CloudError> {
        let mut url = self.client.url(&["v1", "notices"]);
        url.query_pairs_mut()
            .append_pair("from", &from.to_string())
            .append_pair("wait_ms", &wait_ms.to_string());
        Ok(self.client.get(&url, wait_ms).await?)
    }

    async fn buy(&self, order: &NewPurchase) -> Result<String, CloudError> {
        let url = self.client.url(&["v1", "purchases"]);
        let bought: Bought = self.client.post(&url, order).await?;
        Ok(bought.host)
    }

    async fn purchases(&self) -> Result<Vec<Purchase>, CloudError> {
        let url = self.client.url(&["v1", "purchases"]);
        let listed: Purchases = self.client.get(&url, 0).await?;
        Ok(listed.purchases)
    }

    async fn return_host(&self, host: &str) -> Result<(), CloudError> {
        let url = self.client.url(&["v1", "hosts", host]);
        Ok(self.client.delete(&url).await?)
    }

    async fn prices(&self) -> Result<Vec<Price>, CloudError> {
        let url = self.client.url(&["v1", "prices"]);
        let listed: Prices = self.client.get(&url, 0).await?;
        Ok(listed.prices)
    }
}
