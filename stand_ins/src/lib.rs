//! Stand-ins for the outside systems of `docs/design/protocols.md`, for tests and measurements.
//!
//! Each one is an HTTP/1.1 server inside the calling process. Its handle changes the faults at run
//! time and tells what was executed; dropping the handle stops the server and cuts its connections.

mod chance;
pub mod cloud;
pub mod engine;
pub mod history;
pub mod log;
mod number;
pub mod operators;
pub mod proxy;
mod rate;
mod server;
pub mod service;
pub mod site;
pub mod weights;

pub use cloud::{Cloud, CloudSettings};
pub use engine::{Engine, EngineSettings};
pub use history::History;
pub use log::{Log, LogSettings};
pub use proxy::{ProxySettings, TcpProxy, UdpProxy};
pub use server::now_ms;
pub use service::{Service, ServiceSettings};
pub use site::{Site, SiteSettings};
pub use weights::{Weights, WeightsSettings};
