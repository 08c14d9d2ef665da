//! Names of the metrics, one function for each thing that is counted.

use std::sync::OnceLock;

use hgw_wire::peer::{Frame, Message};
use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The process's recorder: several nodes of one process share it.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// The recorder, installed at the first call; nothing where the program has installed its own.
pub(crate) fn recorder() -> Option<&'static PrometheusHandle> {
    RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok()).as_ref()
}

/// A ring was full.
pub(crate) fn ring_full(ring: &'static str) {
    counter!("hgw_ring_full_total", "ring" => ring).increment(1);
}

/// A caller's request ended.
pub(crate) fn request(outcome: &'static str) {
    counter!("hgw_requests_total", "outcome" => outcome).increment(1);
}

/// Open requests of callers changed.
pub(crate) fn open_streams(change: f64) {
    gauge!("hgw_open_streams").increment(change);
}

/// An attempt at an upstream ended.
pub(crate) fn attempt(outcome: &'static str) {
    counter!("hgw_upstream_attempts_total", "outcome" => outcome).increment(1);
}

/// A stream went on over a new connection.
pub(crate) fn resumed() {
    counter!("hgw_upstream_resumes_total").increment(1);
}

/// An append to the log ended.
pub(crate) fn append(outcome: &'static str) {
    counter!("hgw_log_appends_total", "outcome" => outcome).increment(1);
}

/// A read of the log ended.
pub(crate) fn read(outcome: &'static str) {
    counter!("hgw_log_reads_total", "outcome" => outcome).increment(1);
}

/// Bytes of a frame on a connection to a peer.
pub(crate) fn peer_bytes(direction: &'static str, kind: &'static str, bytes: usize) {
    counter!("hgw_peer_bytes_total", "direction" => direction, "kind" => kind)
        .increment(bytes as u64);
}

/// Whether a frame belongs to a request (`data`) or to the nodes' own affairs (`control`).
pub(crate) fn kind_of(frame: &Frame) -> &'static str {
    match frame {
        Frame::Chunk(..) | Frame::Credit(..) => "data",
        Frame::Hello(_) | Frame::Ping(_) | Frame::Pong(_) => "control",
        Frame::Message(message) => match **message {
            Message::Submit(_)
            | Message::NotStarted { .. }
            | Message::Started { .. }
            | Message::Ended { .. }
            | Message::Cancel { .. }
            | Message::Keyed(_)
            | Message::KeyedAnswer { .. } => "data",
            Message::Heartbeat(_)
            | Message::Placement(_)
            | Message::AskPlacement
            | Message::Demand(_)
            | Message::LostEngines(..)
            | Message::AskConfig { .. }
            | Message::Config { .. }
            | Message::Leaving => "control",
        },
    }
}
