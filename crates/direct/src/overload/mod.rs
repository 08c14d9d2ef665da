//! Limits what is admitted to services whose engines complete less than arrives.
//!
//! Nodes report arrivals and completions ([`LoadCounts`]). The leader compares them with what the
//! engines complete ([`OverloadController`]) and publishes which share of each class of requests is
//! admitted ([`ServiceAdmission`]). Each node applies the shares ([`Admission`]).

mod admission;
mod capacity;
mod controller;
mod rate;
mod report;
mod sharing;

pub use admission::{Admission, AdmissionUpdate, RequestClass, ServiceAdmission, Share};
pub use controller::{OverloadController, ServiceState};
pub use report::{
    ArrivalCount, CompletionCount, CustomerKey, LoadCounts, ServiceReport, is_retried,
};
