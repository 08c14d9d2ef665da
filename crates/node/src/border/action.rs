use std::time::Duration;

use bytes::Bytes;
use hgw_types::{AttemptId, NodeId, Offset, RecordId, StreamName, Time, UpstreamId};
use hgw_wire::peer::{Message, Work};
use hgw_wire::upstream::Order;

use super::{Answer, CallId, OperatorReply, StreamId};

/// Everything that a node can ask for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// From now on the chunks of this attempt, and of no other, are given to this caller.
    Attach {
        /// The request.
        stream: StreamId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give this caller no more chunks; answered by [`super::Event::Sealed`].
    Seal {
        /// The request.
        stream: StreamId,
    },
    /// The last word to a caller, after the chunks handed on before.
    Answer {
        /// The request.
        stream: StreamId,
        /// The answer.
        answer: Answer,
    },
    /// Connect to a peer unless connected; messages sent meanwhile wait for the connection, within
    /// a bound.
    Connect {
        /// The peer.
        peer: NodeId,
        /// `IP:PORT` of its listener for peers.
        addr: String,
    },
    /// Close the connection to a peer.
    Disconnect {
        /// The peer.
        peer: NodeId,
    },
    /// Say something to a peer; answered by [`super::Event::PeerDown`] where that is impossible.
    Send {
        /// The peer.
        to: NodeId,
        /// What to say.
        message: Box<Message>,
    },
    /// Send work to an upstream; answered by [`super::Event::Ended`], always and once.
    Start {
        /// Names it.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// `IP:PORT` of its HTTP listener.
        addr: String,
        /// The work.
        work: Work,
        /// Lower is served first by engines that honour priorities.
        priority: u8,
        /// Longest time without any progress before the connection is doubted.
        silence: Duration,
        /// Where the chunks go.
        sink: Sink,
    },
    /// End an attempt at its upstream, and close its connection if need be.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send an order to an engine.
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// `IP:PORT` of its HTTP listener.
        addr: String,
        /// The order.
        order: Order,
        /// Whether the order token goes with it.
        token: bool,
        /// Never to be sent after this time, checked when the first byte is written; not sent then.
        send_by: Time,
        /// Longest wait for the answer.
        timeout: Duration,
    },
    /// Ask an engine what it holds.
    AskState {
        /// The engine.
        upstream: UpstreamId,
        /// `IP:PORT` of its HTTP listener.
        addr: String,
    },
    /// Ask an upstream for its load report.
    AskLoad {
        /// The upstream.
        upstream: UpstreamId,
        /// `IP:PORT` of its HTTP listener.
        addr: String,
    },
    /// Read a stream of the log; waits at the log for a while where there is nothing yet.
    Read {
        /// The stream.
        stream: StreamName,
        /// The first record wanted.
        from: Offset,
    },
    /// Append a record to a stream of the log.
    Append {
        /// The stream.
        stream: StreamName,
        /// The record.
        id: RecordId,
        /// Its bytes.
        data: Bytes,
    },
    /// Ask the platform for its list of VMs.
    AskVms,
    /// Answer an operator.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: OperatorReply,
    },
    /// Whether callers should be sent here, as the readiness path says.
    Ready(bool),
    /// The planned stop is done.
    Exit,
}

/// Where the chunks of an attempt go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sink {
    /// To the caller of this node that the attempt is attached to.
    Caller,
    /// To a peer, whose caller it is.
    Peer(NodeId),
    /// Nowhere: the whole answer comes with [`super::Event::Ended`].
    Collect,
}
