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
    /// It sends an answer that does not end until the channel is closed.
    Endless(Endless),
}

/// How an answer without end is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endless {
    /// What does not end.
    pub part: EndlessPart,
    /// Bytes written at a time.
    pub piece_bytes: usize,
    /// Pause between two writes, in milliseconds; zero: as fast as the channel takes them.
    pub pause_ms: u64,
}

impl Endless {
    /// An answer of which one part does not end, sent fast and in large pieces.
    #[must_use]
    pub const fn fast(part: EndlessPart) -> Self {
        Self {
            part,
            piece_bytes: 16 * 1024,
            pause_ms: 0,
        }
    }
}

/// The part of an answer that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Bytes that begin no answer.
    NoAnswer,
    /// The line with the status.
    StatusLine,
    /// The value of one header.
    HeaderValue,
    /// The headers.
    Headers,
    /// Heads with a status of 103 before the answer.
    InformationalHeads,
    /// The zeros before the size of a chunk.
    ChunkSize,
    /// The spaces after the size of a chunk.
    ChunkSizeSpaces,
    /// An extension of a chunk.
    ChunkExtension,
    /// The trailers.
    Trailers,
    /// A body that ends with its channel.
    Body,
    /// A body with a length that no test reads to its end.
    BodyWithLength,
    /// The chunks of a body.
    Chunks,
    /// A line of an event.
    EventLine,
    /// Comments between events.
    Comments,
    /// Events that repeat one id.
    RepeatedEvents,
    /// Events without an id.
    Events,
}

impl EndlessPart {
    /// Returns the lines that its answer has in its head beyond the usual ones; none if the head itself does not end.
    pub(super) fn head_lines(self) -> Option<&'static str> {
        match self {
            Self::NoAnswer
            | Self::StatusLine
            | Self::HeaderValue
            | Self::Headers
            | Self::InformationalHeads => None,
            Self::ChunkSize | Self::ChunkSizeSpaces | Self::ChunkExtension | Self::Trailers => {
                Some("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")
            }
            Self::Chunks => Some("transfer-encoding: chunked\r\n"),
            Self::BodyWithLength => Some("content-length: 1000000000000\r\n"),
            Self::Body => Some("connection: close\r\n"),
            Self::EventLine | Self::Comments | Self::RepeatedEvents | Self::Events => {
                Some("content-type: text/event-stream\r\nconnection: close\r\n")
            }
        }
    }

    /// Returns what is sent once after the usual head, or in its place.
    pub(super) fn begin(self) -> &'static str {
        match self {
            Self::StatusLine => "HTTP/1.1 200 ",
            Self::HeaderValue => "HTTP/1.1 200 OK\r\nfiller: ",
            Self::Headers => "HTTP/1.1 200 OK\r\n",
            Self::ChunkSizeSpaces => "4",
            Self::ChunkExtension => "4;",
            Self::Trailers => "4\r\nfull\r\n0\r\n",
            Self::EventLine => "data: ",
            Self::NoAnswer
            | Self::InformationalHeads
            | Self::ChunkSize
            | Self::Body
            | Self::BodyWithLength
            | Self::Chunks
            | Self::Comments
            | Self::RepeatedEvents
            | Self::Events => "",
        }
    }

    /// Returns what is sent again and again then.
    pub(super) fn filler(self) -> &'static str {
        match self {
            Self::NoAnswer => "!",
            Self::ChunkSize => "0",
            Self::ChunkSizeSpaces => " ",
            Self::StatusLine | Self::HeaderValue | Self::ChunkExtension => "filler",
            Self::Headers | Self::Trailers => "filler: filler\r\n",
            Self::InformationalHeads => "HTTP/1.1 103 Early Hints\r\nfiller: filler\r\n\r\n",
            Self::Chunks => "7\r\nfiller \r\n",
            Self::Body | Self::BodyWithLength | Self::EventLine => "filler ",
            Self::Comments => ": filler\n\n",
            Self::RepeatedEvents => "id: 1\ndata: filler\n\n",
            Self::Events => "data: filler\n\n",
        }
    }
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
