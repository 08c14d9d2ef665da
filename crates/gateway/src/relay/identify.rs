//! Authentication of callers and authorization of their requests.

use hgw_direct::{Catalog, Customer, CustomerId, Refusal, Route, Sender, Shown};
use hgw_events::{Event, emit};
use http::StatusCode;

use crate::answer::{Answer, own};
use crate::dialect::SentBy;
use crate::meter;
use crate::proof;
use crate::shared::Node;

use super::request::Relayed;

/// A caller's identity, established when its request arrived.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Identity {
    shown: Shown,
    /// Whether customers are configured, so that only they and open routes are served.
    is_guarded: bool,
    pub(super) customer: Option<CustomerId>,
}

/// Why a request may not be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denied {
    /// The credentials belong to no customer.
    Stranger,
    /// This node does not know whether its list of keys is current.
    NoProof,
}

impl Identity {
    /// Authenticates the caller of a route.
    pub(super) fn find(
        node: &Node,
        catalog: &Catalog,
        route: &Route,
        shown: Shown,
    ) -> Result<(Identity, Option<Customer>), Denied> {
        let Some(customers) = &catalog.customers else { return Ok((Identity::default(), None)) };
        let has_key = shown != Shown::Nothing;
        let (customer, settings) = match customers.sender(&shown, route.is_open) {
            Sender::Customer(name, customer) => (Some(name.clone()), Some(customer.clone())),
            Sender::Anybody => (None, None),
            // A key may have been added since: with a possibly outdated list it is not rejected as
            // unknown.
            Sender::Stranger if proof::holds(node) => return Err(Denied::Stranger),
            Sender::Stranger => return Err(Denied::NoProof),
        };
        if has_key && !proof::holds(node) {
            return Err(Denied::NoProof);
        }
        Ok((Identity { shown, is_guarded: true, customer }, settings))
    }

    /// Authenticates again right before sending: the key may have been revoked while the request
    /// waited or the machine was suspended.
    pub(super) fn look_again(&self, node: &Node, route: &Route) -> Result<(), Denied> {
        let catalog = node.state.borrow().catalog.clone();
        let Some(catalog) = catalog.filter(|_| self.is_guarded) else { return Ok(()) };
        let (now, _) = Identity::find(node, &catalog, route, self.shown.clone())?;
        if now.customer == self.customer { Ok(()) } else { Err(Denied::Stranger) }
    }

    /// The identity that is forwarded to engines.
    pub(super) fn sent_by(&self) -> SentBy<'_> {
        match &self.customer {
            Some(name) => SentBy::Customer(name),
            None if self.is_guarded => SentBy::Anybody,
            None => SentBy::Unknown,
        }
    }
}

/// Builds the response to an unauthorized request, which no engine has executed.
pub(super) fn deny(node: &Node, id: &str, route: &Route, why: Denied) -> Answer {
    match why {
        Denied::NoProof => {
            meter::refused(route, Refusal::NoProof);
            tell(node, id, route, &Refusal::NoProof);
            super::refuse(node, Refusal::NoProof, super::NOT_READY)
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
    /// Checks before the first attempt that the caller is still authorized.
    pub(super) fn is_allowed(&self) -> Result<(), Denied> {
        self.identity.look_again(&self.node, &self.route)
    }

    pub(super) fn deny(&self, why: Denied) -> Answer {
        self.told.set(true);
        deny(&self.node, &self.call.id, &self.route, why)
    }
}
