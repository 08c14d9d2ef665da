//! The configuration that a node serves by, and what it knows of newer ones.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use hgw_direct::{Catalog, CatalogLag, LagEffect, Refusal};
use hgw_events::{Event, emit};

use super::Shared;

/// A message in which another node names the version of its configuration.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum CatalogMention {
    #[display("poll")]
    Poll,
    #[display("response to a poll")]
    PollResponse,
    #[display("response to who leads")]
    LeaderResponse,
    #[display("forwarded request")]
    ForwardedRequest,
    #[display("refusal of a forwarded request")]
    ForwarderRefusal,
}

impl Shared {
    /// Version of the configuration in force; 0 without one.
    pub(crate) fn catalog_version(&self) -> u64 {
        self.state.borrow().catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Records the version of the configuration that another node has.
    pub(crate) fn record_reported_catalog(&self, version: u64) {
        let (now, own) = (self.now(), self.catalog_version());
        let apply_within = self.settings.borrow().apply_within;
        self.update_lag(|lag| lag.record_report(now, version, own, apply_within));
        if self.is_catalog_outdated() {
            self.catalog_reported.notify_waiters();
        }
    }

    /// Records that a configuration came into force.
    pub(crate) fn record_adopted_catalog(&self, version: u64) {
        self.update_lag(|lag| lag.record_adopted(self.now(), version));
    }

    /// Records that the text of the reported configuration cannot be used.
    pub(crate) fn record_rejected_catalog(&self) {
        self.update_lag(CatalogLag::record_rejected);
    }

    /// Logs when this node begins or ceases to send callers elsewhere.
    pub(crate) fn log_lag_change(&self) {
        let effect = self.lag_effect();
        if self.logged_lag_effect.replace(effect) != effect {
            emit(
                Event::ConfigOutdated,
                &[
                    ("node", &self.settings.borrow().node),
                    ("callers", &effect),
                    ("has", &self.catalog_version()),
                    ("known", &self.reported_catalog()),
                ],
            );
        }
    }

    /// Logs that another node has a newer configuration, once for each version.
    pub(crate) fn log_reported_catalog(
        &self,
        peer: SocketAddr,
        message: CatalogMention,
        version: u64,
    ) {
        if version <= self.catalog_version().max(self.logged_report.get()) {
            return;
        }
        self.logged_report.set(version);
        emit(
            Event::ConfigReported,
            &[
                ("node", &self.settings.borrow().node),
                ("peer", &peer),
                ("in", &message),
                ("has", &self.catalog_version()),
                ("reported", &version),
                ("data_age_ms", &self.store_data_age()),
            ],
        );
    }

    fn update_lag(&self, update: impl FnOnce(&mut CatalogLag)) {
        let mut lag = self.catalog_lag.get();
        update(&mut lag);
        self.catalog_lag.set(lag);
    }

    /// Newest configuration version that this node has, or whose text it cannot use.
    pub(crate) fn known_catalog(&self) -> u64 {
        self.catalog_version().max(self.catalog_lag.get().rejected())
    }

    /// Newest configuration version that another node reported.
    pub(crate) fn reported_catalog(&self) -> u64 {
        self.catalog_lag.get().reported()
    }

    /// Whether another node reported a newer configuration than this node has, unless its text cannot be used here.
    pub(crate) fn is_catalog_outdated(&self) -> bool {
        self.known_catalog() < self.reported_catalog()
    }

    /// What becomes of callers while this node lacks a newer configuration.
    pub(crate) fn lag_effect(&self) -> LagEffect {
        self.catalog_lag.get().effect(self.now(), self.settings.borrow().apply_within)
    }

    /// The configuration to serve a request by, or why none is served now.
    pub(crate) fn serving_catalog(&self) -> Result<Arc<Catalog>, Refusal> {
        let catalog = self.state.borrow().catalog.clone();
        let catalog = catalog.filter(|_| self.knows_state()).ok_or(Refusal::NotReady)?;
        match self.lag_effect() {
            LagEffect::Refuse => Err(Refusal::OutdatedConfig),
            LagEffect::Serve | LagEffect::Unready => Ok(catalog),
        }
    }
}
