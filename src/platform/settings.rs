//! Decodes and validates the settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::{fs, io};

use miette::Diagnostic;
use serde::Deserialize;
use thiserror::Error;

use crate::gateway::settings::{Bounds, LimitWindow, NodeSettings};
use crate::resources::HostLimits;

const BYTES_PER_MB: usize = 1024 * 1024;

/// Reason why the settings are rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file {path}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        source: io::Error,
    },
    /// A field is missing or has the wrong type, or the file is not JSON.
    #[error("the settings field `{field}` cannot be read")]
    Field {
        /// Path of the field.
        field: String,
        /// The decoding error.
        #[source]
        source: serde_json::Error,
    },
    /// A field has a value out of range.
    #[error("the settings field `{field}` must be {expected}")]
    Value {
        /// Path of the field.
        field: &'static str,
        /// Description of the valid values.
        expected: &'static str,
    },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawSettings {
    node: String,
    ip: IpAddr,
    zone: String,
    region: String,
    #[serde(default)]
    zones: BTreeMap<String, String>,
    listen: RawListen,
    port_range: Vec<u16>,
    #[serde(default)]
    bootstrap: bool,
    #[serde(default)]
    bounds: RawBounds,
    #[serde(default)]
    limits: RawLimits,
    platform: RawAddress,
    cloud: Option<RawAddress>,
}

/// Resources of the machine; the defaults match the smaller installations.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawLimits {
    /// Fraction of each core that the process may use.
    cpu_share: f64,
    cores: f64,
    link_mbps: f64,
    memory_mb: usize,
    max_fds: usize,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            cpu_share: 0.25,
            cores: 1.0,
            link_mbps: 1_000.0,
            memory_mb: 260,
            max_fds: 4_100,
        }
    }
}

#[derive(Debug, Deserialize)]
struct RawListen {
    front: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct RawAddress {
    address: SocketAddr,
}

/// Bounds that the program must keep; the defaults match the smaller installations.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawBounds {
    drain_ms: u64,
    grace_s: f64,
    revoke_ms: u64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    budget_slack: f64,
    exposure_share: f64,
    quota_window_s: Option<f64>,
    quota_overshoot: f64,
    quota_slack: f64,
    lease_ms: u64,
    usage_window_s: f64,
    usage_late_s: f64,
    #[serde(rename = "ttl_max_s")]
    ttl_max_s: f64,
    contact_ms: u64,
}

impl Default for RawBounds {
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            grace_s: 8.0,
            revoke_ms: 5_000,
            retry_budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 50.0,
            exposure_share: 0.1,
            quota_window_s: None,
            quota_overshoot: 0.0,
            quota_slack: 0.0,
            lease_ms: 3_000,
            usage_window_s: 5.0,
            usage_late_s: 10.0,
            ttl_max_s: 5.0,
            contact_ms: 3_000,
        }
    }
}

/// Reads and validates the settings file.
///
/// # Errors
///
/// If the file cannot be read, is not JSON with the expected fields, or has a value out of range.
pub(crate) fn read(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text)
}

/// Decodes and validates the text of a settings file; unknown fields are ignored.
///
/// # Errors
///
/// If the text is not JSON with the expected fields, or has a value out of range.
pub(crate) fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Field {
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    NodeSettings::try_from(raw)
}

impl TryFrom<RawSettings> for NodeSettings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let (first_port, last_port) = match raw.port_range.as_slice() {
            [first, last] if first + 1 < *last => (*first, *last),
            _ => {
                return Err(SettingsError::Value {
                    field: "portRange",
                    expected: "a first and a last port, at least two apart",
                });
            }
        };
        let bounds = Bounds::try_from(raw.bounds)?;
        Ok(Self {
            name: raw.node,
            failure_domain: raw.zone,
            region: raw.region,
            domain_regions: raw.zones.into_iter().collect(),
            caller_listen: raw.listen.front,
            readiness_listen: raw.listen.readiness,
            directory_listen: raw.listen.directory,
            gossip_listen: SocketAddr::new(raw.ip, first_port),
            // `deploy/system.toml` configures the same port.
            metrics_listen: SocketAddr::new(raw.ip, last_port),
            processor_cores: raw.limits.cpu_share * raw.limits.cores,
            link_mbps: raw.limits.link_mbps,
            host: HostLimits {
                memory_bytes: raw.limits.memory_mb.saturating_mul(BYTES_PER_MB),
                max_descriptors: raw.limits.max_fds,
            },
            is_first_start: raw.bootstrap,
            store_address: raw.platform.address,
            cloud_address: raw.cloud.map(|cloud| cloud.address),
            bounds,
        })
    }
}

impl TryFrom<RawBounds> for Bounds {
    type Error = SettingsError;

    fn try_from(raw: RawBounds) -> Result<Self, SettingsError> {
        Ok(Self {
            drain_ms: raw.drain_ms,
            grace_ms: milliseconds(raw.grace_s, "bounds.graceS")?,
            revoke_ms: raw.revoke_ms,
            retry_ratio: raw.retry_budget_ratio,
            retry_window_ms: milliseconds(raw.budget_window_s, "bounds.budgetWindowS")?,
            retry_slack: raw.budget_slack,
            exposure_share: not_negative(raw.exposure_share, "bounds.exposureShare")?.min(1.0),
            limit_window: limit_window(&raw)?,
            lease_ms: raw.lease_ms,
            usage_window_ms: milliseconds(raw.usage_window_s, "bounds.usageWindowS")?,
            usage_late_ms: milliseconds(raw.usage_late_s, "bounds.usageLateS")?,
            directory_ttl_max_ms: milliseconds(raw.ttl_max_s, "bounds.ttl_max_s")?,
            contact_ms: raw.contact_ms,
        })
    }
}

/// Returns the window over which limits are enforced, or `None` if the settings have none.
fn limit_window(raw: &RawBounds) -> Result<Option<LimitWindow>, SettingsError> {
    let Some(window_s) = raw.quota_window_s else {
        return Ok(None);
    };
    Ok(Some(LimitWindow {
        window_ms: milliseconds(window_s, "bounds.quotaWindowS")?,
        overshoot: not_negative(raw.quota_overshoot, "bounds.quotaOvershoot")?,
        slack: not_negative(raw.quota_slack, "bounds.quotaSlack")?,
    }))
}

/// Validates that a fraction or an amount is finite and not negative.
fn not_negative(value: f64, field: &'static str) -> Result<f64, SettingsError> {
    match value {
        value if value >= 0.0 && value.is_finite() => Ok(value),
        _ => Err(SettingsError::Value {
            field,
            expected: "a number that is not below zero",
        }),
    }
}

/// Converts a duration above zero and below one day from seconds to milliseconds.
fn milliseconds(seconds: f64, field: &'static str) -> Result<u64, SettingsError> {
    match seconds {
        duration_s if duration_s > 0.0 && duration_s < 86_400.0 => {
            Ok(crate::gateway::num::round_to_u64(duration_s * 1_000.0))
        }
        _ => Err(SettingsError::Value {
            field,
            expected: "a number of seconds above zero",
        }),
    }
}

#[cfg(test)]
mod tests;
