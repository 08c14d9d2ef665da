//! Positions in the changes that one process has made.

use serde::{Deserialize, Serialize};

/// Position in a process's changes: an identifier of the process and a number of changes.
///
/// It means nothing to another process, nor to the same node after a restart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePosition(u64, u64);

impl ChangePosition {
    pub const fn new(process_id: u64, changes: u64) -> ChangePosition {
        ChangePosition(process_id, changes)
    }

    /// Identifier of the process; 0 if there is none.
    pub fn process_id(self) -> u64 {
        self.0
    }

    /// Whether no change of any process has been seen.
    pub fn is_default(&self) -> bool {
        *self == ChangePosition::default()
    }

    /// The number of changes, if the position is in the changes of this process.
    pub fn in_changes_of(self, process_id: u64) -> Option<u64> {
        (self.0 == process_id && self != ChangePosition::default()).then_some(self.1)
    }
}
