//! Event streams of an engine, and how they end.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::{Active, Shared};
use crate::server::{Lost, Piece};

/// Pieces of a stream that wait to be written.
pub(super) const UNWRITTEN_PIECES: usize = 4;

impl Shared {
    /// Writes the events after `from`, and counts how the stream ended.
    pub(super) async fn events(
        self: Arc<Self>,
        tx: mpsc::Sender<Piece>,
        from: u64,
        active: Active,
    ) {
        self.lock().running += 1;
        let end = self.write_events(&tx, from).await;
        self.lock().running -= 1;
        drop(active);
        match end {
            StreamEnd::Complete => self.lock().record.complete += 1,
            StreamEnd::Left => {}
            StreamEnd::Broken(rest) => {
                for piece in rest.into_iter().map(Ok).chain([Err(Lost)]) {
                    // Fails only where the connection has ended already.
                    let _ = tx.send(piece).await;
                }
            }
            StreamEnd::Unread => {
                self.lock().record.cut_unread += 1;
                let _ = tx.send(Err(Lost)).await;
            }
        }
    }

    async fn write_events(&self, tx: &mpsc::Sender<Piece>, from: u64) -> StreamEnd {
        let padding = "x".repeat(self.settings.event_bytes);
        let breaks = self.switches.stream_fault().map(u64::from);
        for (sent, event) in (from + 1..=self.settings.events).enumerate() {
            tokio::time::sleep(self.switches.slowed(self.settings.pause)).await;
            if breaks.is_some_and(|after| sent as u64 >= after) {
                // In the middle of an event.
                let half = Bytes::from(format!("id: {event}\nda"));
                return StreamEnd::Broken(Some(hyper::body::Frame::data(half)));
            }
            let by = match self.settings.names_software {
                true => format!(" of {}", self.lock().software.as_str().unwrap_or_default()),
                false => String::new(),
            };
            let event = Bytes::from(format!("id: {event}\ndata: piece {event}{by}{padding}\n\n"));
            match self.write(tx, Ok(hyper::body::Frame::data(event))).await {
                Ok(true) => {}
                Ok(false) => return StreamEnd::Left,
                Err(_) => return StreamEnd::Unread,
            }
        }
        StreamEnd::Complete
    }

    /// Writes a piece; tells whether its reader is there, or that it has not read for too long.
    async fn write(&self, tx: &mpsc::Sender<Piece>, piece: Piece) -> Result<bool, Elapsed> {
        let sent = tx.send(piece);
        match self.settings.unread_limit {
            Some(limit) => timeout(limit, sent).await.map(|sent| sent.is_ok()),
            None => Ok(sent.await.is_ok()),
        }
    }
}

/// How a stream has ended.
enum StreamEnd {
    Complete,
    /// Its reader has left.
    Left,
    /// It breaks off after this.
    Broken(Option<hyper::body::Frame<Bytes>>),
    /// Its reader has not read for too long.
    Unread,
}
