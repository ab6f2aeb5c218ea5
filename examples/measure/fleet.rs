//! Node processes before stand-ins in this process, for the experiments that need real nodes.

pub mod document;
pub mod process;
pub mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use teaselline_stand_ins::cloud::HostSpec;
use teaselline_stand_ins::{
    Cloud, CloudSettings, Engine, EngineSettings, Log, LogSettings, Weights, WeightsSettings,
};

use self::document::Shape;
use self::process::{NodeProcess, NodeSettings};
use self::wire::{Connection, StreamCall};
use super::Failure;

/// How often a fleet is looked at until it is ready.
const READY_TRIES: u32 = 1_200;

/// Pause between two looks.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Stand-ins for the platform and one engine that plays all engine hosts.
#[derive(Debug)]
pub struct Fleet {
    /// The log service.
    pub log: Log,
    /// The cloud.
    pub cloud: Cloud,
    /// The engine.
    pub engine: Engine,
    weights: Weights,
    shape: Shape,
    nodes: Vec<NodeProcess>,
}

/// An engine that computes prompts at once and runs any number of streams, each with a token an
/// interval.
pub fn instant_engine(token_interval_ms: f64) -> EngineSettings {
    EngineSettings {
        models: vec![(document::MODEL.to_owned(), "1".to_owned())],
        slots: 65_536,
        queue_limit: 65_536,
        tokens_per_second: 1e9,
        prefill_tokens_per_second: 1e9,
        min_token_interval_ms: token_interval_ms,
        kv_tokens_capacity: 1 << 40,
        ..EngineSettings::default()
    }
}

impl Fleet {
    /// Starts the stand-ins and lists the shape's hosts.
    pub async fn start(shape: Shape, engine: EngineSettings) -> Result<Self, Failure> {
        let fleet = Self {
            log: Log::start(LogSettings::default()).await?,
            cloud: Cloud::start(CloudSettings::default()).await?,
            engine: Engine::start(engine).await?,
            weights: Weights::start(WeightsSettings::default()).await?,
            shape,
            nodes: Vec::new(),
        };
        for index in 0..fleet.shape.engines {
            let spec = HostSpec {
                host: format!("h-{index}"),
                failure_domain: document::domain_name(index % fleet.shape.domains),
                host_class: document::CLASS.to_owned(),
                pool: document::POOL.to_owned(),
            };
            fleet.cloud.register(spec, fleet.engine.address());
        }
        Ok(fleet)
    }

    /// The nodes, in the order of their start.
    pub fn nodes(&self) -> &[NodeProcess] {
        &self.nodes
    }

    /// Starts nodes that find each other through the first one, in domain after domain.
    pub fn add_nodes(&mut self, count: usize, threads: usize) -> Result<(), Failure> {
        for _node in 0..count {
            let index = self.nodes.len();
            let settings = NodeSettings {
                name: format!("entry-{index}"),
                failure_domain: document::domain_name(index % self.shape.domains),
                region: document::REGION.to_owned(),
                seeds: self
                    .nodes
                    .iter()
                    .take(3)
                    .map(NodeProcess::heartbeats)
                    .collect(),
                log: self.log.address(),
                cloud: self.cloud.address(),
                weights: self.weights.address(),
                threads,
            };
            self.nodes.push(NodeProcess::start(&settings)?);
        }
        Ok(())
    }

    /// Puts the shape's document in force and waits until every node knows all nodes and hosts.
    pub async fn configure(&self) -> Result<(), Failure> {
        let first = self.nodes.first().ok_or(Failure::NotReady)?;
        let change = document::change(0, &self.shape.document());
        wire::call(first.callers(), "POST", "/v1/configuration", &change).await?;
        for node in &self.nodes {
            self.wait_until_ready(node.callers()).await?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self, node: SocketAddr) -> Result<(), Failure> {
        for _try in 0..READY_TRIES {
            let status = wire::call(node, "GET", "/v1/status", "").await;
            if status.is_ok_and(|status| self.is_whole(&status)) && serves(node).await {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(Failure::NotReady)
    }

    fn is_whole(&self, status: &str) -> bool {
        let status: serde_json::Value = serde_json::from_str(status).unwrap_or_default();
        let count = |field: &str| status[field].as_array().map_or(0, Vec::len);
        status["revision"].as_u64() > Some(0)
            && count("nodes") >= self.nodes.len()
            && count("upstreams") >= self.shape.engines
    }
}

/// Whether a node admits a request and streams its answer.
async fn serves(node: SocketAddr) -> bool {
    let call = StreamCall {
        prompt: "Is the catalogue open?".to_owned(),
        max_tokens: 1,
    };
    let streamed = async {
        let mut connection = Connection::to(node).await?;
        connection.stream(&wire::node_request(&call)).await
    };
    streamed.await.is_ok()
}
