//! Who sends a request, and whether it may run.

use hgw_direct::{CallerIdentity, Catalog, Credentials, Customer, CustomerId, Refusal, Route};
use hgw_events::{Event, emit};
use http::StatusCode;

use crate::answer::{Answer, own};
use crate::dialect::SentBy;
use crate::meter;
use crate::proof;
use crate::shared::Node;

use super::request::Relayed;

/// Who sends a request, as it showed when it came.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Identity {
    shown: Credentials,
    /// Whether only customers and open routes are served.
    is_guarded: bool,
    pub(super) customer: Option<CustomerId>,
}

/// Why a request with a key may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denied {
    /// Nobody is known by what it shows.
    Stranger,
    /// This node cannot show that the key is still anybody's.
    NoProof,
}

impl Identity {
    /// Finds out who sends a request to a route.
    pub(super) fn find(
        node: &Node,
        catalog: &Catalog,
        route: &Route,
        shown: Credentials,
    ) -> Result<(Identity, Option<Customer>), Denied> {
        let Some(customers) = &catalog.customers else { return Ok((Identity::default(), None)) };
        let has_key = shown != Credentials::None;
        let (customer, settings) = match customers.identify(&shown, route.is_public) {
            CallerIdentity::Customer(name, customer) => {
                (Some(name.clone()), Some(customer.clone()))
            }
            CallerIdentity::Anonymous => (None, None),
            // A node that cannot tell whether it has the newest keys does not know strangers either.
            CallerIdentity::Unauthorized if proof::holds(node) => return Err(Denied::Stranger),
            CallerIdentity::Unauthorized => return Err(Denied::NoProof),
        };
        if has_key && !proof::holds(node) {
            return Err(Denied::NoProof);
        }
        Ok((Identity { shown, is_guarded: true, customer }, settings))
    }

    /// Whether it still is who it was: a request may have waited, or its machine stood still.
    pub(super) fn look_again(&self, node: &Node, route: &Route) -> Result<(), Denied> {
        let catalog = node.state.borrow().catalog.clone();
        let Some(catalog) = catalog.filter(|_| self.is_guarded) else { return Ok(()) };
        let (now, _) = Identity::find(node, &catalog, route, self.shown.clone())?;
        if now.customer == self.customer { Ok(()) } else { Err(Denied::Stranger) }
    }

    /// As engines are told.
    pub(super) fn sent_by(&self) -> SentBy<'_> {
        match &self.customer {
            Some(name) => SentBy::Customer(name),
            None if self.is_guarded => SentBy::Anybody,
            None => SentBy::Unknown,
        }
    }
}

/// The answer to a request that may not run, and has not.
pub(super) fn deny(node: &Node, id: &str, route: &Route, why: Denied) -> Answer {
    match why {
        Denied::NoProof => {
            meter::refused(route, Refusal::StaleConfig);
            tell(node, id, route, &Refusal::StaleConfig);
            super::refuse(node, Refusal::StaleConfig, super::NOT_READY)
        }
        Denied::Stranger => {
            meter::failed(route, "no valid key");
            tell(node, id, route, &"no valid key");
            let mut answer = own(StatusCode::UNAUTHORIZED, "no valid key");
            node.dialects.callers.ask_for_key(answer.headers_mut());
            answer
        }
    }
}

fn tell(node: &Node, id: &str, route: &Route, why: &dyn std::fmt::Display) {
    let name = &node.settings.borrow().node;
    let fields: &[(&str, &dyn std::fmt::Display)] =
        &[("node", name), ("id", &id), ("route", &route.name), ("why", why)];
    emit(Event::CallerDenied, fields);
}

impl Relayed {
    /// Whether the request, which no engine has run yet, may still run.
    pub(super) fn is_allowed(&self) -> Result<(), Denied> {
        self.identity.look_again(&self.node, &self.route)
    }

    /// The answer where it may not.
    pub(super) fn deny(&self, why: Denied) -> Answer {
        self.told.set(true);
        deny(&self.node, &self.call.id, &self.route, why)
    }
}
