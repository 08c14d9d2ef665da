//! Takes in the engine list and the loaded models that other nodes send.

use hgw_direct::{AtHand, Engines, ListNews, ListPart, Listed, Passed, Standing};

use crate::shared::{ListSource, Node};

use super::message::Told;

/// Updates the engine list.
pub(super) fn take_in_list(node: &Node, news: ListNews) {
    let mut state = node.state.borrow_mut();
    if news.part == ListPart::Unknown {
        return;
    }
    if news.part == ListPart::ReadAnew {
        state.list_version = None;
        node.must_read_list.set(true);
        return;
    }
    let changes = news.part == ListPart::Whole || !news.engines.is_empty() || !news.gone.is_empty();
    let engines = &mut state.engines;
    engines.copy_ends(news.copy_end);
    let entries: Vec<Listed> =
        news.engines.into_iter().map(|passed| listed_as(engines, passed)).collect();
    if news.part == ListPart::Whole {
        engines.replace(entries, news.place.cursor(), false);
    } else {
        for entry in entries {
            engines.list(entry);
        }
        for (gone, at) in &news.gone {
            engines.unlist(gone, *at);
        }
    }
    drop(state);
    node.handle_restarts();
    node.record_list_version(news.place, ListSource::Peer);
    if changes {
        node.update_available.notify_waiters();
    }
}

fn listed_as(engines: &Engines, passed: Passed) -> Listed {
    let known = engines.get(&passed.engine).filter(|e| !e.listed.start.is_before(passed.start));
    let standing = match (passed.leaving, passed.unreadable) {
        (_, true) => Standing::Unreadable,
        (true, false) => Standing::Leaving { gone_at: None },
        (false, false) => Standing::Ready,
    };
    Listed {
        id: passed.engine,
        at: passed.at,
        start: passed.start,
        service: passed.service.into(),
        addr: passed.addr,
        domain: passed.domain,
        slots: passed.slots,
        standing,
        held: known.filter(|e| e.told_at.is_some()).map_or(passed.held, |e| e.listed.held.clone()),
        at_hand: AtHand::default(),
        cold_ms: u64::from(passed.cold),
    }
}

pub(super) fn take_in(node: &Node, engines: Vec<Told>) {
    if engines.is_empty() {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let mut placements = node.placement_changes.borrow_mut();
    for told in engines {
        let Some(engine) = state.engines.meet(&told.engine, told.start) else { continue };
        if told.orders >= engine.orders {
            let known = engine.told_at.is_some() && engine.listed.held == told.held;
            if !known || engine.orders != told.orders {
                placements.changed(&told.engine);
            }
            engine.orders = told.orders;
            engine.listed.held = told.held;
            engine.told_at = Some(now);
        }
    }
    placements.retain(|id| state.engines.get(id).is_some());
    drop((state, placements));
    node.handle_restarts();
    node.placed.notify_waiters();
    node.update_available.notify_waiters();
}
