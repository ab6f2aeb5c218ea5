//! Decides at which version a stream goes on that a caller takes up.

use super::origins::{Origin, StreamKey};
use super::queries::{self, Stated, Statement};
use super::version::VersionTag;
use crate::gateway::catalog::{Route, Team};
use crate::gateway::clock;
use crate::gateway::refusal::Refusal;
use crate::gateway::request_head::RequestHead;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::time::TimeMs;

/// Age of the view of the upstreams up to which it shows all versions that serve.
const MAX_VIEW_AGE_MS: u64 = 1_500;

/// How long a version must have served alone to have begun all streams that are taken up: longer than a stream and its
/// caller's pause last.
const SOLE_VERSION_MS: u64 = 30_000;

/// Longest id of a request that a caller may take up.
const MAX_ID_BYTES: usize = 256;

/// Retry delay for a caller whose stream a peer may know that has not stated anything on it.
const ORIGIN_UNKNOWN_RETRY_MS: u64 = 250;

/// What a stream that a caller takes up is bound to, and how that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Begun {
    pub origin: Origin,
    pub source: Source,
}

/// How it is known where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// This node recorded it.
    Own,
    /// A peer recorded it.
    Peer,
    /// The platform's store held it when this node started.
    Store,
    /// Only one version has served the pool for as long as streams last.
    SoleVersion,
}

impl Source {
    /// Returns the source as it appears in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// Returns what the stream is bound to that a request takes up; `None` if the request begins one.
///
/// `pool` is the pool that a new request would go to.
///
/// # Errors
///
/// The refusal to return to the caller if it is not known which version began the stream, or if the route no longer
/// leads to its pool.
pub(crate) async fn bind(
    node: &Gateway,
    head: &RequestHead,
    route: &Route,
    team: Option<&Team>,
    pool: &str,
) -> Result<Option<Begun>, Refusal> {
    if head.resume_after.is_none() || !route.is_stream || !route.is_repeatable() {
        return Ok(None);
    }
    let id = head.resumes.as_deref().filter(|id| is_valid_id(id));
    let key = id.map(StreamKey::of);
    let team = team.map(|team| tag(&team.name));
    let found = match key {
        Some(key) => find(node, key, pool).await,
        None => unnamed(node, pool).await,
    };
    let bound = decide(&found, team, &view(node, pool, clock::now()));
    let known = bound.map_or("unknown", |begun| begun.source.as_str());
    metrics::counter!("teaselline_streams_taken_up_total", "known" => known).increment(1);
    let Some(begun) = bound else {
        let retry_after_ms = (!found.is_complete).then_some(ORIGIN_UNKNOWN_RETRY_MS);
        return Err(Refusal::StreamUnknown { retry_after_ms });
    };
    let mut targets = route.targets.iter();
    let is_target = targets.any(|(target, _weight)| tag(target) == begun.origin.pool);
    if !is_target {
        return Err(Refusal::StreamVersionGone {
            may_have_run: false,
        });
    }
    Ok(Some(begun))
}

fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_BYTES
}

/// What this node and its peers state on one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Found {
    /// What this node has recorded or read.
    own: Option<(Origin, Source)>,
    stated: Vec<Statement>,
    /// Whether all peers that may know have stated something.
    is_complete: bool,
}

async fn find(node: &Gateway, key: StreamKey, pool: &str) -> Found {
    let own = queries::recorded(node, key, clock::now());
    if own.is_some() {
        return Found {
            own,
            is_complete: true,
            ..Found::default()
        };
    }
    ask(node, Some(key), pool).await
}

/// Returns what is known of a stream that its caller does not name: only a sole version helps.
async fn unnamed(node: &Gateway, pool: &str) -> Found {
    let view = view(node, pool, clock::now());
    if view.is_proof || view.versions.len() > 1 {
        return Found {
            is_complete: true,
            ..Found::default()
        };
    }
    ask(node, None, pool).await
}

async fn ask(node: &Gateway, key: Option<StreamKey>, pool: &str) -> Found {
    let Stated {
        statements,
        is_complete,
    } = queries::ask(node, key, pool).await;
    // The store's records may have arrived meanwhile.
    let own = key.and_then(|key| queries::recorded(node, key, clock::now()));
    Found {
        own,
        stated: statements,
        is_complete: is_complete && !node.stream_archive.lock().is_unread(),
    }
}

/// This node's view of the versions of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct VersionsView {
    /// Tag of the pool.
    pub pool: u64,
    /// Versions that serve or have served for as long as streams last, sorted.
    pub versions: Vec<VersionTag>,
    /// Whether the view is current and has been complete all that time.
    pub is_proof: bool,
}

impl VersionsView {
    /// Returns what this node states to a peer on a stream that it does not know.
    pub fn statement(&self) -> Statement {
        match self.versions.as_slice() {
            [version] if self.is_proof => Statement::SoleVersion(*version),
            [] | [_] => Statement::Unknown,
            _ => Statement::SeveralVersions,
        }
    }
}

/// Returns since when this node has observed the upstreams; zero if it started with the installation.
///
/// Settings may still state a first start after all nodes were lost; the store's records refute that.
fn observing_since(node: &Gateway) -> TimeMs {
    match node.observing_since {
        TimeMs(0) if !node.stream_archive.lock().shows_first_start() => node.started_at,
        since => since,
    }
}

/// Returns this node's view of the versions of a pool.
pub(super) fn view(node: &Gateway, pool: &str, now: TimeMs) -> VersionsView {
    let (age_ms, complete_since) = {
        let view = node.upstreams_view.lock();
        (view.age_ms(now), view.complete_since)
    };
    let observed_since = observing_since(node).max(complete_since);
    let is_current = age_ms.is_some_and(|age_ms| age_ms <= MAX_VIEW_AGE_MS);
    let is_long_enough =
        observed_since == TimeMs(0) || now.since(observed_since) >= SOLE_VERSION_MS;
    VersionsView {
        pool: tag(pool),
        versions: (node.upstreams.lock()).recent_versions(pool, SOLE_VERSION_MS, now),
        is_proof: is_current && is_long_enough,
    }
}

/// Decides what a stream is bound to; `None` if that is not known.
///
/// A stream that another team began counts as unknown. An unknown one goes on if only one version has served: a
/// version that this node does not see, or sees beside another, refutes that.
fn decide(found: &Found, team: Option<u64>, view: &VersionsView) -> Option<Begun> {
    let stated = found.stated.iter().find_map(|statement| match statement {
        Statement::Began(origin) => Some(*origin),
        Statement::SoleVersion(_) | Statement::SeveralVersions | Statement::Unknown => None,
    });
    match (found.own, stated) {
        (Some((origin, source)), _) if origin.team == team => Some(Begun { origin, source }),
        (None, Some(origin)) if origin.team == team => Some(Begun {
            origin,
            source: Source::Peer,
        }),
        _ => sole_version(&found.stated, view).map(|version| Begun {
            origin: Origin {
                pool: view.pool,
                version,
                team,
            },
            source: Source::SoleVersion,
        }),
    }
}

/// Returns the only version that has served the pool, if this node or a peer knows it for sure and none refutes it.
fn sole_version(stated: &[Statement], view: &VersionsView) -> Option<VersionTag> {
    let [seen] = view.versions.as_slice() else {
        return None;
    };
    let is_refuted = stated.iter().any(|statement| match statement {
        Statement::SoleVersion(version) => version != seen,
        Statement::SeveralVersions => true,
        Statement::Began(_) | Statement::Unknown => false,
    });
    let is_proven = view.is_proof || stated.contains(&Statement::SoleVersion(*seen));
    (is_proven && !is_refuted).then_some(*seen)
}

#[cfg(test)]
mod tests;
