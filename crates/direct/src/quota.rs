//! What a customer may use over all nodes, handed out as allowances that lapse.
//!
//! Load: a customer sends six times its usual through 62 nodes, some of which are cut off, frozen or killed meanwhile, and
//! its limit holds for all of them together at any moment. One node, the issuer, has the limit as a bucket, and gives
//! allowances from it; what a node has not used within half a second is void, so that nothing that was given long ago is
//! used on top of what others were given since. A domain that hears nothing from the issuer goes on with its share of the
//! limit, and the issuer takes that share off what it gives as soon as it hears nothing from the domain. A new issuer
//! begins with an empty bucket: what its predecessor gave counts in the same window.
//!
//! Sum of any window: what the bucket gave in it and within the life of an allowance before it, and what domains used
//! that the issuer did not know of yet. [`Terms`] takes both off the bucket where the bounds leave no room for them.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{CustomerId, Millis, Quota, QuotaBounds};

/// Longest life of an allowance: several times as long as one takes to come.
const LONGEST_LIFE: Millis = 500;

/// Shortest: a small machine may answer a tenth of a second late.
const SHORTEST_LIFE: Millis = 150;

/// Part of the room beyond the limit that allowances which still live may take.
const LIFE_SHARE: f64 = 0.5;

/// Part of it that domains on their own may draw ahead, together: a request may need more than a domain's share brings
/// in a second.
const AHEAD_SHARE: f64 = 0.25;

/// Part of the limit that domains use which hear nothing from the issuer.
const ALONE_SHARE: f64 = 0.8;

/// Time without a word after which a domain counts as on its own.
const SILENT_AFTER: Millis = 1_000;

/// Part of all nodes that may fall silent at once before the issuer notices.
const SILENT_SHARE: f64 = 0.4;

/// Part of what there is that one asker gets at the most, times its part of the nodes; and the same whatever that is.
///
/// Load: all ask for several times what there is. The first to ask in each moment would get all of it, more than its
/// callers use before it lapses, and the others nothing.
const OF_ITS_PART: f64 = 2.0;
const LEAST_PART: f64 = 0.125;

/// Part of the slack with which a new issuer begins, so that small customers are served at once, and how many may begin
/// within one window.
const START_SHARE: f64 = 0.25;
const STARTS: f64 = 2.0;

/// Least that the bucket holds, in seconds of the limit: a request needs much at once.
const LEAST_DEPTH_S: f64 = 0.4;

/// An amount that may be used up to a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lot {
    /// How much is left.
    pub amount: f64,
    /// When it is void.
    pub until: Millis,
}

/// An amount on its way to another node, which has a clock of its own.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// How much.
    pub amount: f64,
    /// How long it may still be used when it is given.
    pub for_ms: Millis,
}

/// A limit as the issuer keeps it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    rate: f64,
    /// What a new issuer begins with.
    start: f64,
    depth: f64,
    life: Millis,
    ahead: f64,
}

impl Terms {
    /// The terms of a limit within these bounds.
    pub fn of(quota: Quota, bounds: &QuotaBounds) -> Terms {
        let window = bounds.window.as_secs_f64().max(0.1);
        let room = bounds.over * (quota.rate * window + quota.burst) + bounds.slack;
        let life_s = LIFE_SHARE * room / quota.rate.max(f64::MIN_POSITIVE);
        let life = ((life_s * 1_000.0) as Millis).clamp(SHORTEST_LIFE, LONGEST_LIFE);
        let alive = quota.rate * life as f64 / 1_000.0;
        let unnoticed = quota.rate * ALONE_SHARE * SILENT_SHARE * SILENT_AFTER as f64 / 1_000.0;
        let ahead = AHEAD_SHARE * room;
        let start = START_SHARE * bounds.slack;
        let free = quota.burst + room - alive - unnoticed - ahead - STARTS * start;
        let least = quota.rate * LEAST_DEPTH_S;
        // The slack is there so that a small customer's larger requests fit at all.
        let depth = free.clamp(least, (quota.burst + bounds.slack).max(least));
        let rate = (quota.rate - (depth - free).max(0.0) / window).max(0.0);
        Terms { rate, start: start.min(depth), depth, life, ahead }
    }

    /// How long an allowance lives.
    pub fn life(&self) -> Millis {
        self.life
    }

    /// What it may hold at the most.
    pub fn depth(&self) -> f64 {
        self.depth
    }

    /// What is given a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// What a node asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// So much at the most.
    pub most: f64,
    /// What requests wait for; the rest is asked ahead.
    pub needed: f64,
    /// The least that is of use: what one request lacks.
    pub least: f64,
    /// What one more request needs.
    pub step: f64,
    /// What requests have needed since the last question, whether they got it or not.
    pub new: f64,
}

impl Want {
    /// What to give of so much. Less than a request needs would lapse unused.
    ///
    /// Load: a customer asks for four times its limit through 62 nodes. Shared out to the last token, one in sixteen of
    /// what it may use was left over in pieces that no request fitted into.
    pub fn of(&self, there: f64) -> f64 {
        if there >= self.most {
            return self.most;
        }
        if there < self.least || self.step <= 0.0 {
            return 0.0;
        }
        self.least + ((there - self.least) / self.step).floor() * self.step
    }
}

/// What a node may still use of one customer's limit.
#[derive(Debug, Clone, Default)]
pub struct Purse {
    lots: VecDeque<Lot>,
}

impl Purse {
    /// What there is now.
    pub fn balance(&mut self, now: Millis) -> f64 {
        self.lots.retain(|lot| lot.until > now && lot.amount > 0.0);
        self.lots.iter().map(|lot| lot.amount).sum()
    }

    /// Takes an allowance in, or back where it was not used.
    pub fn add(&mut self, lot: Lot) {
        let at = self.lots.partition_point(|known| known.until <= lot.until);
        self.lots.insert(at, lot);
    }

    /// Takes so much at the most, what lapses first first.
    pub fn take(&mut self, now: Millis, most: f64) -> Vec<Lot> {
        self.balance(now);
        let (mut left, mut taken) = (most, Vec::new());
        while left > 0.0
            && let Some(first) = self.lots.front_mut()
        {
            let amount = first.amount.min(left);
            (first.amount, left) = (first.amount - amount, left - amount);
            taken.push(Lot { amount, until: first.until });
            if first.amount <= 0.0 {
                self.lots.pop_front();
            }
        }
        taken
    }

    /// Takes all that a request needs, or nothing.
    pub fn spend(&mut self, now: Millis, cost: f64) -> Option<Vec<Lot>> {
        (self.balance(now) >= cost).then(|| self.take(now, cost))
    }
}

/// A bucket that fills at a rate and holds so much.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Bucket {
    level: f64,
    at: Millis,
}

impl Bucket {
    fn fill(&mut self, now: Millis, rate: f64, depth: f64) {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.level = (self.level + rate * passed).min(depth);
        self.at = self.at.max(now);
    }
}

/// The one node that gives allowances from the limits.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// Since when it does.
    since: Millis,
    buckets: IndexMap<CustomerId, Bucket>,
    /// Who asked, when, and for how many nodes.
    heard: IndexMap<SocketAddr, (Millis, u32)>,
    /// What they wanted and did not get.
    unmet: IndexMap<CustomerId, IndexMap<SocketAddr, (f64, Millis)>>,
}

/// Time for which what a node did not get counts as wanted.
const UNMET_FOR: Millis = 200;

impl Issuer {
    /// Begins with nearly empty buckets.
    pub fn begin(now: Millis) -> Issuer {
        Issuer { since: now, ..Issuer::default() }
    }

    /// A node asks, for itself and those that ask it.
    pub fn hear(&mut self, from: SocketAddr, nodes: u32, now: Millis) {
        self.heard.insert(from, (now, nodes));
        self.heard.retain(|_, (at, _)| now.saturating_sub(*at) < SILENT_AFTER);
    }

    /// Part of all nodes that it has not heard of lately; itself it hears. One that has just begun has yet to hear from
    /// the others: after all processes were killed nobody has found its head, and nobody uses a share alone.
    pub fn silent_share(&self, nodes: u32, now: Millis) -> f64 {
        if now.saturating_sub(self.since) < SILENT_AFTER {
            return 0.0;
        }
        let lately = self.heard.values().filter(|(at, _)| now.saturating_sub(*at) < SILENT_AFTER);
        let heard: u32 = 1 + lately.map(|(_, nodes)| *nodes).sum::<u32>();
        f64::from(nodes.saturating_sub(heard)) / f64::from(nodes.max(1))
    }

    /// The part of what there is that a node may get which asks for so many nodes of all.
    pub fn part_of(asks_for: u32, nodes: u32) -> f64 {
        let part = f64::from(asks_for.max(1)) / f64::from(nodes.max(1));
        (OF_ITS_PART * part).clamp(LEAST_PART, 1.0)
    }

    /// Gives of what a customer may use; `alone` was used without the issuer, and `silent` is the part of the nodes that
    /// may be doing so. Of what there is only this `part` is given, but for what one request lacks.
    pub fn give(
        &mut self,
        from: SocketAddr,
        customer: &CustomerId,
        terms: &Terms,
        want: &Want,
        (alone, silent, part): (f64, f64, f64),
        now: Millis,
    ) -> Answer {
        let empty = Bucket { level: terms.start, at: self.since };
        let bucket = self.buckets.entry(customer.clone()).or_insert(empty);
        bucket.fill(now, terms.rate * (1.0 - ALONE_SHARE * silent), terms.depth);
        // What was used before it began is not of its bucket.
        if now.saturating_sub(self.since) >= SILENT_AFTER {
            bucket.level -= alone;
        }
        let there = (bucket.level * part).max(want.least.min(bucket.level));
        let amount = want.of(there);
        bucket.level -= amount;
        let unmet = self.unmet.entry(customer.clone()).or_default();
        unmet.retain(|_, (_, at)| now.saturating_sub(*at) < UNMET_FOR);
        let is_short = amount < want.needed && bucket.level < want.least;
        if !is_short {
            unmet.swap_remove(&from);
            return Answer { amount, room_in: None };
        }
        unmet.insert(from, (want.needed - amount, now));
        let lacks: f64 = unmet.values().map(|(amount, _)| amount).sum::<f64>() - bucket.level;
        let rate = terms.rate.max(f64::MIN_POSITIVE);
        Answer { amount, room_in: Some((1_000.0 * lacks / rate) as Millis) }
    }
}

/// What an issuer gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// So much.
    pub amount: f64,
    /// Where there is no more at the moment: when there will be, in milliseconds.
    pub room_in: Option<Millis>,
}

/// What a domain used without the issuer.
#[derive(Debug, Clone, PartialEq)]
pub struct Used {
    /// Whose limit.
    pub customer: CustomerId,
    /// How much.
    pub amount: f64,
    /// When.
    pub at: Millis,
}

/// What a domain uses that hears nothing from the issuer: its share of the limits.
#[derive(Debug, Clone, Default)]
pub struct Alone {
    buckets: IndexMap<CustomerId, Bucket>,
    /// Whether the issuer has been heard since.
    ended: bool,
    /// What was used of late, and when.
    used: VecDeque<Used>,
}

impl Alone {
    /// The issuer is heard: nothing is used without it. What was drawn ahead stays drawn.
    ///
    /// Load: an issuer that is about to end answers now and then. A domain that began anew each time would draw its share
    /// ahead each time.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Gives so much at the most of the part of the limit that `share` of all nodes have.
    pub fn give(
        &mut self,
        customer: &CustomerId,
        terms: &Terms,
        want: &Want,
        share: f64,
        now: Millis,
    ) -> Answer {
        let part = ALONE_SHARE * share;
        if std::mem::take(&mut self.ended) {
            self.buckets.values_mut().for_each(|bucket| bucket.fill(now, terms.rate * part, 0.0));
        }
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket { level: 0.0, at: now });
        bucket.fill(now, terms.rate * part, terms.rate * part * LEAST_DEPTH_S);
        let given = want.of(bucket.level + terms.ahead * share);
        bucket.level -= given;
        self.forget(now);
        self.used.push_back(Used { customer: customer.clone(), amount: given, at: now });
        let rate = (terms.rate * part).max(f64::MIN_POSITIVE);
        let lacks = want.needed - given;
        Answer {
            amount: given,
            room_in: (lacks > 0.0).then_some((1_000.0 * lacks / rate) as Millis),
        }
    }

    /// What was used of late, for the issuer: what was used before that it has taken off by itself.
    pub fn take_used(&mut self, now: Millis) -> Vec<Used> {
        self.forget(now);
        self.used.drain(..).collect()
    }

    /// Takes it back, where the issuer did not answer.
    pub fn give_back(&mut self, used: Vec<Used>) {
        used.into_iter().rev().for_each(|used| self.used.push_front(used));
    }

    fn forget(&mut self, now: Millis) {
        while self.used.front().is_some_and(|used| now.saturating_sub(used.at) >= SILENT_AFTER) {
            self.used.pop_front();
        }
    }
}

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
