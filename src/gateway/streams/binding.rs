//! Decides at which version a stream goes on that a caller takes up.

use super::origins::{Origin, StreamKey};
use super::queries::{self, Answer, Question, Stated, Statement};
use super::version::VersionTag;
use crate::gateway::catalog::{Route, Team};
use crate::gateway::clock;
use crate::gateway::log_position::LogPosition;
use crate::gateway::refusal::Refusal;
use crate::gateway::request_head::RequestHead;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::time::TimeMs;

/// How long a version must have served alone to have begun all streams that are taken up: longer than a stream and its
/// caller's pause last.
const SOLE_VERSION_MS: u64 = 30_000;

/// Longest id of a request that a caller may take up.
const MAX_ID_BYTES: usize = 256;

/// Retry delay for a caller whose stream may become known: a peer or the store has not answered.
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
        Some(key) => find(node, key, pool, team).await,
        None => unnamed(node, pool, team).await,
    };
    let decision = decide(&found, team, &view(node, pool, clock::now()));
    metrics::counter!("teaselline_streams_taken_up_total", "known" => decision.as_str())
        .increment(1);
    let Decision::Bound(begun) = decision else {
        let may_become_known = !found.is_complete || decision == Decision::Unconfirmed;
        let retry_after_ms = may_become_known.then_some(ORIGIN_UNKNOWN_RETRY_MS);
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
    answers: Vec<Answer>,
    /// End of the announcements when this node read them for this request.
    read_end: Option<LogPosition>,
    /// Whether all peers that may know have stated something.
    is_complete: bool,
}

impl Found {
    /// Returns where the stream began, if this node or a peer knows.
    fn began(&self) -> Option<Begun> {
        let stated = self
            .answers
            .iter()
            .find_map(|answer| match answer.statement {
                Statement::Began(origin) => Some((origin, Source::Peer)),
                Statement::SoleVersion(_) | Statement::SeveralVersions | Statement::Unknown => None,
            });
        let known = self.own.or(stated);
        known.map(|(origin, source)| Begun { origin, source })
    }

    /// Whether a peer's statement contradicts that only this version has served.
    fn refutes(&self, seen: VersionTag) -> bool {
        self.answers.iter().any(|answer| match answer.statement {
            Statement::SoleVersion(version) => version != seen,
            Statement::SeveralVersions => true,
            Statement::Began(_) | Statement::Unknown => false,
        })
    }

    /// Whether the view holds all announcements that the store held when the request arrived.
    ///
    /// A stream begins at an upstream only after its announcement is in the store.
    fn confirms(&self, view: &VersionsView) -> bool {
        let by_peers = (self.answers.iter()).filter_map(|answer| answer.confirmed_end);
        let mut ends = by_peers.chain(self.read_end);
        ends.any(|end| view.read_to.era == end.era && view.read_to >= end)
    }

    /// Whether a peer has observed that only this version served until this node's own observation began.
    fn vouches(&self, seen: VersionTag, view: &VersionsView) -> bool {
        self.answers.iter().any(|answer| {
            let is_same_era = answer.read_to.era == view.complete_from.era;
            answer.statement == Statement::SoleVersion(seen)
                && is_same_era
                && answer.read_to >= view.complete_from
        })
    }
}

async fn find(node: &Gateway, key: StreamKey, pool: &str, team: Option<u64>) -> Found {
    let own = queries::recorded(node, key, clock::now());
    if own.is_some_and(|(origin, _source)| origin.team == team) {
        return Found {
            own,
            is_complete: true,
            ..Found::default()
        };
    }
    ask(node, Some(key), pool, team).await
}

/// Returns what is known of a stream that its caller does not name: only a sole version helps.
async fn unnamed(node: &Gateway, pool: &str, team: Option<u64>) -> Found {
    let view = view(node, pool, clock::now());
    if view.versions.len() > 1 {
        return Found {
            is_complete: true,
            ..Found::default()
        };
    }
    ask(node, None, pool, team).await
}

async fn ask(node: &Gateway, key: Option<StreamKey>, pool: &str, team: Option<u64>) -> Found {
    let question = Question {
        key,
        pool,
        has_observed: view(node, pool, clock::now()).has_observed,
    };
    let Stated {
        answers,
        is_complete,
    } = queries::ask(node, question).await;
    // The store's records may have arrived meanwhile.
    let own = key.and_then(|key| queries::recorded(node, key, clock::now()));
    let mut found = Found {
        own,
        answers,
        read_end: None,
        is_complete: is_complete && !node.stream_archive.lock().is_unread(),
    };
    let decision = decide(&found, team, &view(node, pool, clock::now()));
    if decision == Decision::Unconfirmed {
        found.read_end = queries::read_announcements(node).await;
    }
    found
}

/// This node's view of the versions of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct VersionsView {
    /// Tag of the pool.
    pub pool: u64,
    /// Versions that serve or have served for as long as streams last, sorted.
    pub versions: Vec<VersionTag>,
    /// Whether this node has observed the upstreams without a gap all that time.
    pub has_observed: bool,
    /// Position up to which the versions of all announcements are among them.
    pub read_to: LogPosition,
    /// Position from which on this node has observed the upstreams without a gap.
    pub complete_from: LogPosition,
}

impl VersionsView {
    /// Returns what this node states to a peer on a stream that it does not know.
    pub fn statement(&self) -> Statement {
        match self.versions.as_slice() {
            [version] if self.has_observed => Statement::SoleVersion(*version),
            [] | [_] => Statement::Unknown,
            _ => Statement::SeveralVersions,
        }
    }
}

/// Returns whether this node started with the installation.
///
/// Settings may still state a first start after all nodes were lost; the store's records refute that.
fn is_first_start(node: &Gateway) -> bool {
    node.observing_since == TimeMs(0) && node.stream_archive.lock().shows_first_start()
}

/// Returns this node's view of the versions of a pool.
pub(super) fn view(node: &Gateway, pool: &str, now: TimeMs) -> VersionsView {
    let is_first_start = is_first_start(node);
    // The position is read before the table, which changes first.
    let upstreams = {
        let view = node.upstreams_view.lock();
        let observed_since = if is_first_start {
            view.complete_since
        } else {
            view.complete_since.max(view.first_known_at)
        };
        VersionsView {
            pool: tag(pool),
            versions: Vec::new(),
            has_observed: view.is_known() && has_observed(observed_since, now),
            read_to: view.end,
            complete_from: view.complete_from,
        }
    };
    VersionsView {
        versions: (node.upstreams.lock()).recent_versions(pool, SOLE_VERSION_MS, now),
        ..upstreams
    }
}

/// Returns whether upstreams have been observed for as long as streams last; zero stands for the installation's start.
fn has_observed(since: TimeMs, now: TimeMs) -> bool {
    since == TimeMs(0) || now.since(since) >= SOLE_VERSION_MS
}

/// What a stream that a caller takes up is bound to, or why that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Bound(Begun),
    /// One version is seen, but another may have joined before the stream began.
    Unconfirmed,
    Unknown,
}

impl Decision {
    /// Returns the decision as it appears in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Bound(begun) => begun.source.as_str(),
            Self::Unconfirmed => "unconfirmed",
            Self::Unknown => "unknown",
        }
    }
}

/// Decides what a stream is bound to.
///
/// A stream that another team began counts as unknown. An unknown one goes on if only one version has served.
fn decide(found: &Found, team: Option<u64>, view: &VersionsView) -> Decision {
    match found.began() {
        Some(begun) if begun.origin.team == team => Decision::Bound(begun),
        _ => match sole_version(found, view) {
            SoleVersion::Proven(version) => Decision::Bound(Begun {
                origin: Origin {
                    pool: view.pool,
                    version,
                    team,
                },
                source: Source::SoleVersion,
            }),
            SoleVersion::Unconfirmed => Decision::Unconfirmed,
            SoleVersion::Unproven => Decision::Unknown,
        },
    }
}

/// Whether only one version has served a pool since before any stream began that a caller may take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoleVersion {
    Proven(VersionTag),
    /// It is not known whether another one has joined since this node's table was read.
    Unconfirmed,
    /// Another one has served, or may have before it was observed.
    Unproven,
}

/// Decides whether a version that this node sees alone can have begun a stream that nobody knows.
fn sole_version(found: &Found, view: &VersionsView) -> SoleVersion {
    let [seen] = view.versions.as_slice() else {
        return SoleVersion::Unproven;
    };
    match *seen {
        seen if found.refutes(seen) => SoleVersion::Unproven,
        seen if !view.has_observed && !found.vouches(seen, view) => SoleVersion::Unproven,
        _ if !found.confirms(view) => SoleVersion::Unconfirmed,
        seen => SoleVersion::Proven(seen),
    }
}

#[cfg(test)]
mod tests;
