//! The retry budget.

use hgw_direct::{RetryBudget, RetryBudgetLimits};

fn limits(nodes: u32) -> RetryBudgetLimits {
    RetryBudgetLimits { ratio: 0.2, slack: 50.0, window: 10_000, nodes }
}

fn taken(budget: &mut RetryBudget, now: u64, limits: &RetryBudgetLimits, urgent: bool) -> usize {
    (0..10_000).take_while(|_| budget.try_take(now, limits, urgent)).count()
}

/// Guards against retries that multiply the load when all engines fail.
#[test]
fn nodes_together_stay_below_the_common_budget() {
    let limits = limits(5);
    let mut all = 0;
    for _ in 0..5 {
        let mut budget = RetryBudget::default();
        for _ in 0..100 {
            budget.record_request(1_000, &limits);
        }
        all += taken(&mut budget, 1_000, &limits, true);
    }
    assert!(all as f64 <= 0.2 * 500.0 + 50.0, "{all}");
    assert!(all >= 100, "{all}");
}

#[test]
fn what_is_urgent_finds_some_left() {
    let limits = limits(1);
    let mut budget = RetryBudget::default();
    let others = taken(&mut budget, 0, &limits, false);
    let urgent = taken(&mut budget, 0, &limits, true);
    assert!(others > 0 && urgent > 0, "{others} {urgent}");
}

#[test]
fn budget_comes_back_after_its_window() {
    let limits = limits(1);
    let mut budget = RetryBudget::default();
    let first = taken(&mut budget, 0, &limits, true);
    assert_eq!(taken(&mut budget, 9_000, &limits, true), 0);
    assert_eq!(taken(&mut budget, 10_001, &limits, true), first);
}
