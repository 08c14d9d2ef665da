//! Authentication of callers and authorization of their requests.

use hgw_direct::{CallerIdentity, Catalog, Credentials, Customer, CustomerId, Refusal, Route};
use hgw_events::{Event, emit};
use http::StatusCode;

use crate::freshness;
use crate::meter;
use crate::protocol::UpstreamIdentity;
use crate::response::{CallerResponse, json_error};
use crate::shared::Node;

use super::request::RelayedRequest;

/// A caller's identity, established when its request arrived.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Identity {
    credentials: Credentials,
    /// Whether customers are configured; then other callers are served on public routes only.
    has_customers: bool,
    pub(super) customer: Option<CustomerId>,
}

/// Why a request may not be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AuthError {
    /// The credentials belong to no customer.
    Unauthorized,
    /// This node does not know whether its list of keys is current.
    StaleConfig,
}

impl Identity {
    /// Authenticates the caller of a route.
    pub(super) fn authenticate(
        node: &Node,
        catalog: &Catalog,
        route: &Route,
        credentials: Credentials,
    ) -> Result<(Identity, Option<Customer>), AuthError> {
        let Some(customers) = &catalog.customers else { return Ok((Identity::default(), None)) };
        let has_key = credentials != Credentials::None;
        let (customer, config) = match customers.identify(&credentials, route.is_public) {
            CallerIdentity::Customer(name, customer) => {
                (Some(name.clone()), Some(customer.clone()))
            }
            CallerIdentity::Anonymous => (None, None),
            // An unknown key is rejected only if the list is current: it may have been added since.
            CallerIdentity::Unauthorized if freshness::is_fresh(node) => {
                return Err(AuthError::Unauthorized);
            }
            CallerIdentity::Unauthorized => return Err(AuthError::StaleConfig),
        };
        if has_key && !freshness::is_fresh(node) {
            return Err(AuthError::StaleConfig);
        }
        Ok((Identity { credentials, has_customers: true, customer }, config))
    }

    /// Authenticates again right before sending: the key may have been revoked while the request
    /// waited or the machine was suspended.
    pub(super) fn reauthenticate(&self, node: &Node, route: &Route) -> Result<(), AuthError> {
        let catalog = node.state.borrow().catalog.clone();
        let Some(catalog) = catalog.filter(|_| self.has_customers) else { return Ok(()) };
        let (current, _) = Identity::authenticate(node, &catalog, route, self.credentials.clone())?;
        if current.customer == self.customer { Ok(()) } else { Err(AuthError::Unauthorized) }
    }

    /// The identity that is forwarded to engines.
    pub(super) fn for_upstream(&self) -> UpstreamIdentity<'_> {
        match &self.customer {
            Some(name) => UpstreamIdentity::Customer(name),
            None if self.has_customers => UpstreamIdentity::Anonymous,
            None => UpstreamIdentity::PassThrough,
        }
    }
}

/// Builds the response to an unauthorized request, which no engine has executed.
pub(super) fn refuse_unauthorized(
    node: &Node,
    id: &str,
    route: &Route,
    error: AuthError,
) -> CallerResponse {
    match error {
        AuthError::StaleConfig => {
            meter::refused(route, &Refusal::StaleConfig);
            log_denied(node, id, route, &Refusal::StaleConfig);
            super::refuse(node, Refusal::StaleConfig, super::NOT_READY_RETRY_AFTER)
        }
        AuthError::Unauthorized => {
            meter::failed(route, "no valid key");
            log_denied(node, id, route, &"no valid key");
            let mut response = json_error(StatusCode::UNAUTHORIZED, "no valid key");
            node.protocols.callers.add_auth_challenge(response.headers_mut());
            response
        }
    }
}

fn log_denied(node: &Node, id: &str, route: &Route, reason: &dyn std::fmt::Display) {
    let node_name = &node.settings.borrow().node;
    let fields: &[(&str, &dyn std::fmt::Display)] =
        &[("node", node_name), ("id", &id), ("route", &route.name), ("why", reason)];
    emit(Event::CallerDenied, fields);
}

impl RelayedRequest {
    /// Checks before the first attempt that the caller is still authorized.
    pub(super) fn check_authorized(&self) -> Result<(), AuthError> {
        self.identity.reauthenticate(&self.node, &self.route)
    }

    pub(super) fn refuse_unauthorized(&self, error: AuthError) -> CallerResponse {
        self.is_logged.set(true);
        refuse_unauthorized(&self.node, &self.info.id, &self.route, error)
    }
}
