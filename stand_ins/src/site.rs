//! A whole deployment of stand-ins: engines, plain services, log, cloud and weight store.

use std::{io, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::task::JoinHandle;

use crate::{
    cloud::{Cloud, CloudSettings, HostEvent, HostSpec, Price},
    engine::{Engine, EngineSettings},
    history::{History, Ran},
    log::{Log, LogSettings},
    service::{Service, ServiceSettings},
    weights::{Weights, WeightsSettings},
};

/// What a site consists of.
#[derive(Clone, Debug, Default)]
pub struct SiteSettings {
    /// Its failure domains.
    pub failure_domains: Vec<SiteDomain>,
    /// Its classes of hosts, each offered in every failure domain.
    pub host_classes: Vec<SiteClass>,
    /// Its pools.
    pub pools: Vec<SitePool>,
    /// Its log service.
    pub log: LogSettings,
    /// Its cloud; prices are added to those given here.
    pub cloud: CloudSettings,
    /// Its weight store.
    pub weights: WeightsSettings,
}

/// A failure domain.
#[derive(Clone, Debug)]
pub struct SiteDomain {
    /// Its name.
    pub name: String,
    /// What prices are multiplied with here.
    pub price_factor: f64,
}

/// A class of hosts.
#[derive(Clone, Debug)]
pub struct SiteClass {
    /// Its name.
    pub name: String,
    /// How fast its engines are; 1 is the speed of the pool's settings.
    pub speed: f64,
    /// What it costs before the failure domain's factor.
    pub price_per_hour: f64,
    /// Whether such hosts may be reclaimed.
    pub reclaimable: bool,
}

/// A pool of upstreams of one kind.
#[derive(Clone, Debug)]
pub struct SitePool {
    /// Its name.
    pub name: String,
    /// What runs on its hosts.
    pub kind: PoolKind,
    /// Its hosts at the start.
    pub hosts: Vec<SiteHosts>,
}

/// Hosts that a pool starts with.
#[derive(Clone, Debug)]
pub struct SiteHosts {
    /// Their failure domain.
    pub failure_domain: String,
    /// Their class.
    pub host_class: String,
    /// How many.
    pub count: usize,
}

/// What runs on the hosts of a pool.
#[derive(Clone, Debug)]
pub enum PoolKind {
    /// Model engines; each gets a seed of its own.
    Engines(EngineSettings),
    /// Plain services; each gets a seed of its own.
    Services(ServiceSettings),
}

/// What runs on a host.
#[derive(Debug)]
pub enum Upstream {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Service(Service),
}

impl Upstream {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        }
    }

    /// Dies at once; its records stay.
    pub fn kill(&self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }

    fn ran(&self, host: &str) -> Vec<Ran> {
        match self {
            Self::Engine(engine) => {
                let executions = engine.executions().into_iter();
                let ran = |it: crate::engine::Execution| {
                    Ran::new(host, &it.attempt.clone(), it.started_ms, Some(it))
                };
                executions.map(ran).collect()
            }
            Self::Service(service) => {
                let executions = service.executions().into_iter();
                executions
                    .map(|it| Ran::new(host, &it.attempt, it.at_ms, None))
                    .collect()
            }
        }
    }
}

/// A running site; dropping it stops everything in it.
#[derive(Debug)]
pub struct Site {
    /// Its log service.
    pub log: Log,
    /// Its cloud.
    pub cloud: Arc<Cloud>,
    /// Its weight store.
    pub weights: Weights,
    hosts: Arc<Hosts>,
    owner: JoinHandle<()>,
}

#[derive(Debug)]
struct Hosts {
    classes: Vec<SiteClass>,
    pools: Vec<SitePool>,
    /// Every host that ever ran, by start.
    upstreams: Mutex<Vec<(String, Arc<Upstream>)>>,
}

impl Site {
    /// Starts a site and lists its hosts.
    ///
    /// # Errors
    ///
    /// If an address cannot be listened on, or a pool names a class that there is none of.
    pub async fn start(settings: SiteSettings) -> io::Result<Self> {
        let mut cloud_settings = settings.cloud;
        for class in &settings.host_classes {
            cloud_settings
                .prices
                .extend(settings.failure_domains.iter().map(|domain| Price {
                    host_class: class.name.clone(),
                    failure_domain: domain.name.clone(),
                    price_per_hour: class.price_per_hour * domain.price_factor,
                    reclaimable: class.reclaimable,
                }));
        }
        let cloud = Arc::new(Cloud::start(cloud_settings).await?);
        let (classes, pools) = (settings.host_classes, settings.pools);
        let hosts = Arc::new(Hosts {
            classes,
            pools,
            upstreams: Mutex::default(),
        });
        hosts.start_all(&cloud).await?;
        let owner = tokio::spawn(own(Arc::clone(&hosts), Arc::clone(&cloud)));
        let log = Log::start(settings.log).await?;
        let weights = Weights::start(settings.weights).await?;
        Ok(Self {
            log,
            cloud,
            weights,
            hosts,
            owner,
        })
    }

    /// What runs or ran on a host.
    #[must_use]
    pub fn upstream(&self, host: &str) -> Option<Arc<Upstream>> {
        let upstreams = self.hosts.upstreams.lock();
        let mut found = upstreams.iter().filter(|(name, _)| name == host);
        found.next().map(|(_, upstream)| Arc::clone(upstream))
    }

    /// Every host that ever ran, by start.
    #[must_use]
    pub fn upstreams(&self) -> Vec<(String, Arc<Upstream>)> {
        self.hosts.upstreams.lock().clone()
    }

    /// Everything that was executed, also on hosts that are gone.
    #[must_use]
    pub fn history(&self) -> History {
        let upstreams = self.upstreams();
        let mut ran: Vec<_> = upstreams
            .iter()
            .flat_map(|(host, it)| it.ran(host))
            .collect();
        ran.sort_by_key(|ran| ran.started_ms);
        History { ran }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.owner.abort();
    }
}

impl Hosts {
    async fn start_all(&self, cloud: &Cloud) -> io::Result<()> {
        for pool in &self.pools {
            for group in &pool.hosts {
                for _ in 0..group.count {
                    let spec = HostSpec {
                        host: format!("h-{}", self.upstreams.lock().len() + 1),
                        failure_domain: group.failure_domain.clone(),
                        host_class: group.host_class.clone(),
                        pool: pool.name.clone(),
                    };
                    let upstream = self.start(&spec).await?;
                    cloud.register(spec, upstream.address());
                }
            }
        }
        Ok(())
    }

    async fn start(&self, spec: &HostSpec) -> io::Result<Arc<Upstream>> {
        let unknown = || io::Error::from(io::ErrorKind::NotFound);
        let pool = self
            .pools
            .iter()
            .find(|pool| pool.name == spec.pool)
            .ok_or_else(unknown)?;
        let mut classes = self.classes.iter();
        let class = classes
            .find(|class| class.name == spec.host_class)
            .ok_or_else(unknown)?;
        let number = self.upstreams.lock().len() as u64;
        let upstream = match pool.kind.clone() {
            PoolKind::Engines(mut settings) => {
                settings.seed += number;
                settings.knobs.speed *= class.speed;
                Upstream::Engine(Engine::start(settings).await?)
            }
            PoolKind::Services(mut settings) => {
                settings.seed += number;
                Upstream::Service(Service::start(settings).await?)
            }
        };
        let upstream = Arc::new(upstream);
        self.upstreams
            .lock()
            .push((spec.host.clone(), Arc::clone(&upstream)));
        Ok(upstream)
    }

    fn kill(&self, host: &str) {
        let upstreams = self.upstreams.lock();
        for (_, upstream) in upstreams.iter().filter(|(name, _)| name == host) {
            upstream.kill();
        }
    }
}

/// Starts and kills what the cloud's hosts run.
async fn own(hosts: Arc<Hosts>, cloud: Arc<Cloud>) {
    let Some(mut events) = cloud.take_events() else {
        return;
    };
    while let Some(event) = events.recv().await {
        match event {
            HostEvent::Stop { host } => hosts.kill(&host),
            // A host of an unknown pool or class stays in `starting`, as one that fails to boot.
            HostEvent::Start(spec) => {
                if let Ok(upstream) = hosts.start(&spec).await {
                    cloud.started(&spec.host, upstream.address());
                }
            }
        }
    }
}
