//! Orders: which models are loaded, the role, and the fencing number.

use serde::{Deserialize, Serialize};

/// One order, as it arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Loads a version of a model.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Unloads a version of a model, or all versions.
    UnloadModel {
        /// The model.
        model: String,
        /// Its version.
        version: Option<String>,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// The adapter.
        #[serde(default)]
        adapter: String,
        /// The model that it adapts.
        model: String,
    },
    /// Sets the role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// The body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// What to do.
    pub order: Order,
    /// Who may order: a number that only grows.
    pub fencing: u64,
}

/// An order that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// When it arrived.
    pub at_ms: u64,
    /// What it says.
    pub body: OrderBody,
    /// Whether it was applied.
    pub applied: bool,
}

/// A model that is loaded or loading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
}

#[derive(Debug)]
pub(crate) struct Orders {
    checks: bool,
    load_model_ms: u64,
    newest_fencing: u64,
    role: String,
    adapters: Vec<String>,
    /// Each with the time from which it is loaded.
    models: Vec<(LoadedModel, u64)>,
}

impl Orders {
    pub fn new(settings: &super::EngineSettings) -> Self {
        let models = settings.models.iter().cloned();
        let models = models.map(|(model, version)| (LoadedModel { model, version }, 0));
        Self {
            checks: settings.checks_orders,
            load_model_ms: settings.load_model_ms,
            newest_fencing: 0,
            role: settings.role.clone(),
            adapters: Vec::new(),
            models: models.collect(),
        }
    }

    pub fn serves(&self, model: &str, now_ms: u64) -> bool {
        self.models
            .iter()
            .any(|(loaded, ready_ms)| loaded.model == model && *ready_ms <= now_ms)
    }

    /// Applies an order; the error is the newest fencing number seen.
    pub fn apply(&mut self, body: &OrderBody, now_ms: u64) -> Result<(), u64> {
        if self.checks && body.fencing < self.newest_fencing {
            return Err(self.newest_fencing);
        }
        self.newest_fencing = self.newest_fencing.max(body.fencing);
        match body.order.clone() {
            Order::LoadModel { model, version } => {
                let wanted = LoadedModel { model, version };
                if !self.models.iter().any(|(loaded, _)| *loaded == wanted) {
                    self.models.push((wanted, now_ms + self.load_model_ms));
                }
            }
            Order::UnloadModel { model, version } => self.models.retain(|(loaded, _)| {
                loaded.model != model || version.as_ref().is_some_and(|it| *it != loaded.version)
            }),
            Order::LoadAdapter { adapter, .. } if self.adapters.contains(&adapter) => {}
            Order::LoadAdapter { adapter, .. } => self.adapters.push(adapter),
            Order::SetRole { role } => self.role = role,
        }
        Ok(())
    }

    /// The answer of `GET /v1/state`.
    pub fn state(&self, now_ms: u64) -> serde_json::Value {
        let is_ready = |(_, ready_ms): &&(LoadedModel, u64)| *ready_ms <= now_ms;
        let (ready, loading): (Vec<_>, Vec<_>) = self.models.iter().partition(is_ready);
        let models = |some: Vec<&(LoadedModel, u64)>| -> Vec<_> {
            some.into_iter().map(|(model, _)| model.clone()).collect()
        };
        serde_json::json!({
            "models": models(ready),
            "adapters": self.adapters,
            "role": self.role,
            "newest_fencing": self.newest_fencing,
            "loading": models(loading),
        })
    }
}
