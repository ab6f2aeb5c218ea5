//! What a whole site executed, for checking that nothing ran more often than allowed.

use std::collections::BTreeMap;

use crate::engine::Execution;

/// One execution on one host.
#[derive(Clone, Debug)]
pub struct Ran {
    /// The host.
    pub host: String,
    /// The request: the attempt's text without its number.
    pub request: String,
    /// The attempt's number, 0 if its text has none.
    pub number: u32,
    /// When it began.
    pub started_ms: u64,
    /// The stream, if it ran on an engine.
    pub stream: Option<Execution>,
}

impl Ran {
    pub(crate) fn new(host: &str, attempt: &str, at_ms: u64, stream: Option<Execution>) -> Self {
        let parts = attempt.rsplit_once('.');
        let parts = parts.and_then(|(request, number)| Some((request, number.parse().ok()?)));
        let (request, number) = parts.unwrap_or((attempt, 0));
        let (host, request) = (host.to_owned(), request.to_owned());
        Self {
            host,
            request,
            number,
            started_ms: at_ms,
            stream,
        }
    }

    /// Whether both did the same work: any two calls of a plain service, and two streams that
    /// generated a token at the same position.
    fn doubles(&self, other: &Self) -> bool {
        let (Some(a), Some(b)) = (&self.stream, &other.stream) else {
            return true;
        };
        a.position.max(b.position) < a.end().min(b.end())
    }
}

/// All executions, by start.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The executions.
    pub ran: Vec<Ran>,
}

impl History {
    /// The executions of each request, by start.
    #[must_use]
    pub fn by_request(&self) -> BTreeMap<&str, Vec<&Ran>> {
        let mut requests: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
        for ran in &self.ran {
            requests.entry(&ran.request).or_default().push(ran);
        }
        requests
    }

    /// Whether a request ran at all.
    #[must_use]
    pub fn has_run(&self, request: &str) -> bool {
        self.ran.iter().any(|ran| ran.request == request)
    }

    /// Requests of which some work was done twice.
    #[must_use]
    pub fn doubled(&self) -> Vec<&str> {
        let mut requests = self.by_request();
        requests.retain(|_, ran| {
            let mut pairs = ran
                .iter()
                .enumerate()
                .flat_map(|(at, a)| ran[..at].iter().map(move |b| (a, b)));
            pairs.any(|(a, b)| a.doubles(b))
        });
        requests.into_keys().collect()
    }

    /// Tokens that were computed or generated again, over all requests.
    ///
    /// A request needs its prompt computed once and each position generated once; what its
    /// attempts did beyond that was done again.
    #[must_use]
    pub fn recomputed_tokens(&self) -> u64 {
        let requests = self.by_request();
        requests
            .values()
            .map(|ran| recomputed(ran.iter().filter_map(|it| it.stream.as_ref())))
            .sum()
    }
}

fn recomputed<'a>(streams: impl Iterator<Item = &'a Execution> + Clone) -> u64 {
    let done = streams
        .clone()
        .map(|stream| stream.computed_tokens + stream.generated_tokens);
    let from_start = streams.clone().filter(|stream| stream.position == 0);
    let prompt = from_start
        .map(|stream| stream.computed_tokens)
        .max()
        .unwrap_or(0);
    let first = streams
        .clone()
        .map(|stream| stream.position)
        .min()
        .unwrap_or(0);
    let end = streams.map(Execution::end).max().unwrap_or(0);
    done.sum::<u64>().saturating_sub(prompt + end - first)
}
