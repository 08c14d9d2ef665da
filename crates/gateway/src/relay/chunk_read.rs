//! One read of a response body.

use bytes::Bytes;

use super::wait::WaitResult;

/// The next bytes, or `None` at the end of the body.
pub(super) type ChunkRead = WaitResult<hgw_http1::Result<Option<Bytes>>>;

/// Whether a read tells that the response ended before it was complete. It `may_end` if no event is incomplete.
pub(super) fn ends_early(read: &ChunkRead, may_end: bool) -> bool {
    match read {
        WaitResult::Done(Ok(None)) => !may_end,
        WaitResult::Done(Err(_)) | WaitResult::EngineRestarted => true,
        WaitResult::Done(Ok(Some(_))) | WaitResult::TimedOut | WaitResult::Stalled => false,
    }
}
