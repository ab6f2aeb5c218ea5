//! The course of a simulated day, and what it came to.

/// The prompts of the requests that crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prompts {
    /// The second part of three is bad; sound requests share the first.
    BadSecond,
    /// The first part of two is bad.
    BadFirst,
    /// Two bad second parts, used in turn.
    TwoBad,
    /// The first part of two is bad; in another model it is sound.
    BadInOneModel,
    /// The same request each time; sound ones share all its parts.
    SameWhole,
}

/// Upstreams that end without a bad part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Losses {
    None,
    Domain,
    TwoDomains,
    All,
    OneByOne,
    SameUpstream,
    /// Connections break, upstreams run on.
    Resets,
}

/// The course of a simulated day.
#[derive(Clone, Copy, Debug)]
pub(super) struct Course {
    pub prompts: Prompts,
    pub losses: Losses,
    /// Mean interval of requests with a bad part; zero for none.
    pub bad_interval_ms: u64,
    /// Mean interval of the sound requests that share a part with the bad ones.
    pub sound_interval_ms: u64,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Longest wait of a request at an upstream before its answer begins.
    pub wait_ms: u64,
    pub has_cuts_and_starts: bool,
    pub end_s: u64,
}

impl Default for Course {
    fn default() -> Self {
        Self {
            prompts: Prompts::BadSecond,
            losses: Losses::None,
            bad_interval_ms: 600,
            sound_interval_ms: 250,
            max_attempts: 3,
            wait_ms: 600,
            has_cuts_and_starts: false,
            end_s: 80,
        }
    }
}

impl Course {
    pub fn of_losses(losses: Losses) -> Self {
        Self {
            losses,
            bad_interval_ms: 0,
            ..Self::default()
        }
    }
}

/// Requests sent, and those whose answer began.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Begun {
    pub sent: u32,
    pub begun: u32,
}

impl Begun {
    pub fn share(self) -> f64 {
        match self.sent {
            0 => 1.0,
            sent => f64::from(self.begun) / f64::from(sent),
        }
    }
}

/// What a simulated day came to.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "fields that only the printed line shows")]
pub(super) struct Outcome {
    pub nodes: usize,
    /// Upstreams that crashed under a bad part.
    pub bad_crashes: usize,
    /// Requests with a bad part that a node in touch sent later than `CONTACT_MS` after the fifth
    /// crash under that part; the most of any part.
    pub late_sends: u32,
    /// Sound requests that share a part with the bad ones, before the first impairment.
    pub calm: Begun,
    /// The same from twice `CONTACT_MS` after the fifth crash on, or after the last if there are fewer.
    pub later: Begun,
    /// Sound requests that were blocked at any time.
    pub blocked_requests: u32,
    /// Datagrams of one report or more, over all nodes.
    pub reports: u64,
}
