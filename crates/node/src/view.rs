//! What the parts of a node may look at but not change.

use hgw_config::Document;
use hgw_types::{DomainId, NodeId, Scope, UpstreamId};

use crate::members::Members;
use crate::routes::Routes;

/// The configuration, the routes and the members as they stand.
pub(crate) struct View<'a> {
    pub(crate) me: &'a NodeId,
    pub(crate) domain: &'a DomainId,
    pub(crate) document: &'a Document,
    pub(crate) routes: &'a Routes,
    pub(crate) members: &'a Members,
}

impl View<'_> {
    /// The node that has the queue before an upstream, as this node sees it.
    pub(crate) fn dispatcher_of(&self, upstream: &UpstreamId) -> Option<NodeId> {
        let domain = &self.document.upstreams.get(upstream)?.domain;
        self.members.first_in(domain, upstream.as_str())
    }

    /// The node that should hold a scope that is not bound to a failure domain.
    pub(crate) fn preferred_holder(&self, scope: &Scope) -> Option<NodeId> {
        self.members.first_of_all(scope.as_str())
    }
}
