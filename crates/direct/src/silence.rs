use crate::{Cursor, Millis};

/// What a node knows of the silence of the one that gives orders, which holds a claim in the store's log and tells
/// the other nodes what the store does.
///
/// Load: nodes that the holder tells all do not read the log. A node that began to count the holder's silence only
/// with its own first read waited four seconds and a half after the holder's end, where the lease is three, and
/// nothing was placed meanwhile.
#[derive(Debug, Clone, Default)]
pub struct Silence {
    /// Where the log ended after the holder's last renewal, and when that was sent, as it told.
    renewed: Option<(Cursor, Millis)>,
    /// Whether it does not answer.
    silent: bool,
}

impl Silence {
    /// The holder answers, and tells of its last renewal.
    pub fn answers(&mut self, renewed: Option<(Cursor, Millis)>) {
        *self = Silence { renewed, silent: false };
    }

    /// Its last renewal, for others that ask this node: where the log ended after it, and how long ago it was sent.
    pub fn last_renewal(&self, now: Millis) -> Option<(Cursor, u64)> {
        self.renewed.map(|(end, sent)| (end, now.saturating_sub(sent)))
    }

    /// The holder does not answer.
    pub fn is_silent(&mut self) {
        self.silent = true;
    }

    /// Since when the claim was not renewed, where the log was read now and ends at `end`.
    ///
    /// The log that ends where the last renewal stood shows that none came since. While the store is away the holder
    /// answers, and cannot renew: then its last renewal says nothing, and the store's silence is no reason to take
    /// the orders from it.
    pub fn since(&self, end: Cursor, now: Millis) -> Millis {
        let told = self.renewed.filter(|(at, _)| self.silent && *at == end);
        told.map_or(now, |(_, sent)| sent.min(now))
    }
}
