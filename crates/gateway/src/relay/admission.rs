//! Refuses requests that are not admitted to an overloaded service.

use hgw_direct::overload::{CustomerKey, RequestClass, is_retried};
use hgw_direct::{Refusal, RefusalDuration};

use crate::overload;
use crate::response::CallerResponse;

use super::request::RelayedRequest;

impl RelayedRequest {
    /// Counts the request and decides whether it is admitted. Forwarded requests were admitted by the
    /// node that received them, and resumed streams have begun.
    pub(super) fn is_admitted(&self) -> bool {
        if self.is_forwarded || self.info.last_event.is_some() {
            return true;
        }
        let class = RequestClass {
            service: &self.service,
            priority: self.route.priority,
            customer: CustomerKey::of(self.identity.customer.as_ref()),
            is_retried: is_retried(self.info.deadline, self.route.timeout),
        };
        overload::admits(&self.node, &class)
    }

    pub(super) fn refuse_overloaded(&self) -> CallerResponse {
        self.refuse_while(Refusal::Overloaded, RefusalDuration::Passing)
    }
}
