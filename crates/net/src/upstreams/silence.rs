//! Tells a connection that has gone silent from an upstream that has.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::attempt::InProgress;
use super::{CallError, client};

/// Time within which an answer goes on after its upstream has responded on another connection, unless its own is lost.
const GRACE: Duration = Duration::from_millis(250);

/// How a wait for a step of an answer ended.
#[derive(Debug)]
pub(super) enum Wait<T> {
    Done(T),
    /// The upstream responds on a new connection, and this one stays silent.
    ConnectionLost,
    /// The upstream cannot be reached, or is silent on all connections for twice the limit and more.
    UpstreamLost,
}

/// Waits for a step of an answer. If it takes longer than the limit of silence, the upstream is asked for its load on a new
/// connection, and the old one is kept meanwhile: an upstream that pauses goes on there.
pub(super) async fn wait_for<F: Future>(running: &InProgress<'_>, step: F) -> Wait<F::Output> {
    let silence = running.start.silence;
    let mut step = pin!(step);
    if let Ok(done) = timeout(silence, step.as_mut()).await {
        return Wait::Done(done);
    }
    let end = async {
        match ask_load(running).await {
            Err(CallError::NotSent(_)) => Wait::UpstreamLost,
            Err(CallError::Timeout) => {
                sleep(silence).await;
                Wait::UpstreamLost
            }
            Ok(()) | Err(_) => {
                sleep(GRACE).await;
                Wait::ConnectionLost
            }
        }
    };
    tokio::select! {
        biased;
        done = step => Wait::Done(done),
        end = end => end,
    }
}

async fn ask_load(running: &InProgress<'_>) -> client::Result<()> {
    let (cx, start) = (running.cx, running.start);
    let req = client::get(&start.addr, "/load")?;
    let bound = cx.limits.call.min(start.silence);
    cx.fresh.call(req, bound, cx.limits.collected).await.map(drop)
}
