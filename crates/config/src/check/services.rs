use std::collections::HashMap;

use hgw_types::{ModelId, ServiceId};

use super::{Faults, one_of};
use crate::{Document, Model, Service, ServiceKind};

/// Longest deadline of a class: a week, in milliseconds.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3600 * 1000;

/// Methods that a plain service may call idempotent.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

pub(super) fn check(document: &Document, faults: &mut Faults) {
    let mut owners = HashMap::new();
    for (id, service) in &document.services {
        let path = format!("services.{id}");
        if id.as_str().contains('/') {
            faults.add(&path, id, "a name without `/`, as it stands in paths");
        }
        targets(&path, service, faults);
        classes(&path, service, faults);
        kind(&path, service, faults);
        for (model_id, model) in &service.models {
            let path = format!("{path}.models.{model_id}");
            unique(&path, id, model_id, &mut owners, faults);
            check_model(&path, model_id, model, faults);
        }
    }
}

fn targets(path: &str, service: &Service, faults: &mut Faults) {
    if !(service.target > 0.0 && service.target <= 1.0) {
        faults.add(format!("{path}.target"), service.target, "more than 0 and at most 1");
    }
    if !(service.move_cost.is_finite() && service.move_cost >= 0.0) {
        faults.add(format!("{path}.move_cost"), service.move_cost, "0 or more");
    }
}

fn classes(path: &str, service: &Service, faults: &mut Faults) {
    if service.classes.is_empty() {
        faults.add(format!("{path}.classes"), "{}", "at least one class");
    }
    if !service.classes.contains_key(&service.default_class) {
        let allowed = one_of(service.classes.keys());
        faults.add(format!("{path}.default_class"), &service.default_class, allowed);
    }
    for (id, class) in &service.classes {
        if class.deadline_ms == 0 || class.deadline_ms > MAX_DEADLINE_MS {
            let allowed = format!("1 to {MAX_DEADLINE_MS}");
            faults.add(format!("{path}.classes.{id}.deadline_ms"), class.deadline_ms, allowed);
        }
    }
}

fn kind(path: &str, service: &Service, faults: &mut Faults) {
    let methods = &service.plain.idempotent_methods;
    match service.kind {
        ServiceKind::Model if !methods.is_empty() => {
            let path = format!("{path}.plain.idempotent_methods");
            faults.add(path, methods.join(", "), "none, as the service is a model service");
        }
        ServiceKind::Plain if !service.models.is_empty() => {
            let value = one_of(service.models.keys());
            let allowed = "none, as the service is a plain service";
            faults.add(format!("{path}.models"), value, allowed);
        }
        _ => {}
    }
    for method in methods.iter().filter(|method| !METHODS.contains(&method.as_str())) {
        faults.add(format!("{path}.plain.idempotent_methods"), method, METHODS.join(", "));
    }
}

/// Callers name a model without its service, so its id must be the only one.
fn unique<'a>(
    path: &str,
    service: &'a ServiceId,
    model: &'a ModelId,
    owners: &mut HashMap<&'a ModelId, &'a ServiceId>,
    faults: &mut Faults,
) {
    if let Some(owner) = owners.insert(model, service) {
        faults.add(path, model, format!("a model id that service `{owner}` does not have"));
    }
}

fn check_model(path: &str, id: &ModelId, model: &Model, faults: &mut Faults) {
    let allowed = "a name without `:`, as callers write `model:adapter`";
    if id.as_str().contains(':') {
        faults.add(path, id, allowed);
    }
    if model.size.0 == 0 {
        faults.add(format!("{path}.size"), model.size, "at least 1");
    }
    for adapter in model.adapters.keys().filter(|adapter| adapter.as_str().contains(':')) {
        faults.add(format!("{path}.adapters.{adapter}"), adapter, allowed);
    }
}
