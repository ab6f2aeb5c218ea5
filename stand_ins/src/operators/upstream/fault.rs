//! How an upstream answers, and what crashes it.

/// A body that holds this crashes the upstream that runs it.
pub const KILLER: &str = "kill-the-upstream";

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// It runs each second request and resets the channel without an answer.
    LosesAnswers,
    /// It runs each request, resets the channel without an answer, and accepts further channels.
    LosesAllAnswers,
    /// It sends a second answer some milliseconds after each.
    AnswersTwice,
    /// It does not run the first request of a channel, says so, and says it again where the next answer is due; it runs
    /// that request.
    RepeatsRefusals,
    /// It answers the first request of a channel, and says where the next answer is due that this request named another
    /// upstream.
    MisdirectsLate,
    /// It runs requests and never answers.
    Silent,
    /// It answers with a failure.
    Fails,
    /// It runs requests and answers with this status of a refusal, without saying that it has not run them.
    RunsAndRefuses(&'static str),
    /// It runs requests, answers with this status, and says that it has not run them.
    RunsAndDenies(&'static str),
    /// It does not run requests and says so.
    Sheds,
    /// It runs no request and answers that it is another upstream, with the status alone.
    Misdirects,
    /// It breaks streams off within their third event, and plain answers within their body.
    BreaksOff,
    /// It breaks streams that begin there off within their third event, and none that go on there.
    BreaksBegunStreams,
    /// It answers without a length and resets the channel in the middle.
    UnframedReset,
    /// It answers plain requests whole, with a body of so many bytes.
    LongAnswers(usize),
    /// It sends bytes that are no answer until the channel is closed.
    EndlessBytes,
    /// It sends lines of a head until the channel is closed.
    EndlessHead,
    /// It sends a body without a length until the channel is closed.
    EndlessBody,
}

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By a length, that of a stream by its last chunk.
    #[default]
    Usual,
    /// By the last chunk.
    Chunked,
    /// By the end of the channel.
    ChannelEnd,
}
