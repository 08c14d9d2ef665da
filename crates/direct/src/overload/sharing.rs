//! Divides what engines complete among customers.

/// Request rates of one customer, or of several alike.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct CustomerRates {
    /// First attempts of callers per second.
    pub(super) first: f64,
    /// Attempts of callers that were refused before, per second.
    pub(super) retried: f64,
    /// Number of customers that these are the sums of.
    pub(super) customers: f64,
}

impl CustomerRates {
    pub(super) fn total(&self) -> f64 {
        self.first + self.retried
    }

    /// The rates of both together.
    pub(super) fn add(self, other: CustomerRates) -> CustomerRates {
        CustomerRates {
            first: self.first + other.first,
            retried: self.retried + other.retried,
            customers: self.customers + other.customers,
        }
    }

    fn per_customer(&self) -> f64 {
        self.total() / self.customers.max(1.0)
    }
}

/// The max-min fair rate of a customer: those with less are admitted in full, all others get the same.
/// Infinite if there is enough for all.
pub(super) fn fair_rate(rates: &[CustomerRates], capacity: f64) -> f64 {
    let mut by_rate: Vec<&CustomerRates> = rates.iter().collect();
    by_rate.sort_by(|a, b| a.per_customer().total_cmp(&b.per_customer()));
    let mut customers: f64 = rates.iter().map(|rates| rates.customers.max(1.0)).sum();
    let mut left = capacity.max(0.0);
    for rates in by_rate {
        let fair = left / customers;
        if rates.per_customer() > fair {
            return fair;
        }
        left -= rates.total();
        customers -= rates.customers.max(1.0);
    }
    f64::INFINITY
}

/// Shares of the first attempts and of the retried ones that are admitted: the latter come first.
pub(super) fn shares_of(rates: &CustomerRates, fair_rate: f64) -> (f64, f64) {
    let part = (fair_rate * rates.customers.max(1.0)).min(rates.total());
    let retried = if rates.retried > 0.0 { (part / rates.retried).min(1.0) } else { 1.0 };
    let left = (part - rates.retried).max(0.0);
    let first = if rates.first > 0.0 { (left / rates.first).min(1.0) } else { 1.0 };
    (first, retried)
}
