use crate::Millis;

use super::{Purse, Want};

/// Time over which what is asked for is counted.
const ASKED_OVER_MS: f64 = 500.0;

/// Weight of the newest request in what one usually needs.
const USUAL_WEIGHT: f64 = 0.05;

/// Time for which a node asks ahead.
const AHEAD_S: f64 = 0.25;

/// Time for which a short answer is the last word: then a request is refused at once.
const SHORT_FOR: Millis = 100;

/// Time after one for which nothing is asked ahead.
const SCARCE_FOR: Millis = 400;

/// Something that waits for an allowance: so much, of which the least is of use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// All that it waits for.
    pub most: f64,
    /// What one request needs.
    pub least: f64,
}

/// What a node knows of one customer's use.
#[derive(Debug, Clone, Default)]
pub struct Account {
    /// What it may use.
    pub purse: Purse,
    /// Asked for a second, and when that was counted.
    asked: f64,
    asked_at: Millis,
    /// What one request needs.
    usual: f64,
    /// Needed since the last question.
    new: f64,
    /// What requests need that wait for an answer of the issuer, and the nodes that ask this one.
    waiting: Vec<Waiting>,
    /// When there was no more, and when there will be.
    short: Option<(Millis, Millis)>,
}

impl Account {
    /// A request needs so much.
    pub fn count(&mut self, now: Millis, cost: f64) {
        let before = if self.usual == 0.0 { cost } else { self.usual };
        self.usual = before + USUAL_WEIGHT * (cost - before);
        self.count_asked(now, cost);
    }

    /// A node that asks this one wants so much. What it asks for again counts once.
    pub fn count_want(&mut self, now: Millis, want: &Want) {
        if self.usual == 0.0 {
            self.usual = want.step;
        }
        self.count_asked(now, want.new);
    }

    fn count_asked(&mut self, now: Millis, amount: f64) {
        self.new += amount;
        self.decay(now);
        self.asked += amount * 1_000.0 / ASKED_OVER_MS;
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.asked_at) as f64;
        self.asked *= (-passed / ASKED_OVER_MS).exp();
        self.asked_at = now;
    }

    /// Something waits.
    pub fn wait(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Whether something waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// It waits no longer.
    pub fn wait_over(&mut self, waiting: Waiting) {
        if let Some(at) = self.waiting.iter().position(|known| *known == waiting) {
            self.waiting.swap_remove(at);
        }
    }

    fn all_waiting(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.most).sum()
    }

    /// What to ask for now. Where requests are rare nothing is asked ahead: it would lapse. Nor is it where there is no
    /// more than what is used at once.
    ///
    /// Load: a customer sends three times what it may. Nodes that each were given what a usual request needs had too
    /// little for the next, which was a larger one; four in ten of all that was given lapsed.
    pub fn want(&mut self, now: Millis) -> Want {
        let balance = self.purse.balance(now);
        let ahead = if self.is_scarce(now) { 0.0 } else { self.ahead(now) };
        let waiting = self.all_waiting();
        let most = (ahead.max(waiting) - balance).max(0.0);
        let step = if self.usual > 0.0 { self.usual } else { most };
        let smallest = self.waiting.iter().map(|waiting| waiting.least).reduce(f64::min);
        let least = (smallest.unwrap_or(step) - balance).max(0.0);
        let needed = (waiting - balance).max(0.0);
        Want { most, needed, least: least.min(most), step, new: self.new }
    }

    /// Whether there was no more than was asked for a while ago.
    fn is_scarce(&self, now: Millis) -> bool {
        self.short.is_some_and(|(at, _)| now.saturating_sub(at) < SCARCE_FOR)
    }

    /// Whether it is time to ask: something waits, or half of what is asked ahead is used.
    pub fn is_low(&mut self, now: Millis) -> bool {
        let balance = self.purse.balance(now);
        balance < self.all_waiting() || !self.is_scarce(now) && balance < self.ahead(now) / 2.0
    }

    fn ahead(&mut self, now: Millis) -> f64 {
        self.decay(now);
        let ahead = self.asked * AHEAD_S;
        if ahead >= self.usual { ahead } else { 0.0 }
    }

    /// The question was answered; there may be no more for so long.
    pub fn answered(&mut self, now: Millis, want: &Want, room_in: Option<Millis>) {
        if let Some(room_in) = room_in {
            self.short = Some((now, now + room_in));
        }
        self.new = (self.new - want.new).max(0.0);
    }

    /// Where it is known that there is no more: how long until there is.
    pub fn room_in(&self, now: Millis) -> Option<Millis> {
        let (at, room) = self.short?;
        (now.saturating_sub(at) < SHORT_FOR).then_some(room.saturating_sub(now))
    }
}
