//! Checks a caller's request against the configuration.

use std::time::Duration;

use hgw_config::{Class, Document, Service, ServiceKind};
use hgw_dispatch::prefix_hashes;
use hgw_types::{AdapterId, ClassId, ModelId, ServiceId, Time, Tokens};

use super::failure::not_found;
use super::open::{Open, Phase, Task};
use crate::routes::service_of;
use crate::view::View;
use crate::{CallerRequest, CallerWork, Failure, FailureCode, Ran};

/// A request that this node will see through.
pub(super) enum Admitted {
    Request(Box<Open>),
    Models(Vec<String>),
}

type Result<T> = std::result::Result<T, Failure>;

pub(super) fn admit(now: Time, view: &View<'_>, request: CallerRequest) -> Result<Admitted> {
    let document = view.document;
    let CallerRequest { id, class, deadline, key, work } = request;
    let (service, task) = match work {
        CallerWork::Models => return Ok(Admitted::Models(models(document))),
        CallerWork::Chat { model, adapter, prompt, max_tokens } => {
            let service = service_of(document, &model)
                .ok_or_else(|| not_found(format!("there is no model `{model}`")))?;
            let task = model_task(&document.services[service], model, adapter, prompt, max_tokens)?;
            (service.clone(), task)
        }
        CallerWork::Plain { service, work } => {
            let of_kind = document.services.get(&service).filter(|s| s.kind == ServiceKind::Plain);
            let found =
                of_kind.ok_or_else(|| not_found(format!("there is no service `{service}`")))?;
            let idempotent = found.plain.idempotent_methods.contains(&work.method);
            // A key changes nothing for a call that may be repeated anyway.
            let key = key.filter(|_| !idempotent);
            (service, Task::Plain { work, idempotent, key })
        }
    };
    let class = class_of(&service, &document.services[&service], class)?;
    let within = deadline.unwrap_or(Duration::from_millis(class.deadline_ms));
    Ok(Admitted::Request(Box::new(Open {
        request: id,
        service,
        urgency: class.urgency,
        deadline: now + within,
        task,
        phase: Phase::Looking { next: now },
        tried: indexmap::IndexSet::new(),
        hops: 0,
        moves: 0,
        may_have_run: false,
        look_until: None,
    })))
}

fn model_task(
    service: &Service,
    model: ModelId,
    adapter: Option<AdapterId>,
    prompt: std::sync::Arc<str>,
    max_tokens: Tokens,
) -> Result<Task> {
    let found = &service.models[&model];
    if let Some(adapter) = adapter.as_ref().filter(|a| !found.adapters.contains_key(*a)) {
        return Err(not_found(format!("model `{model}` has no adapter `{adapter}`")));
    }
    if max_tokens == Tokens(0) {
        let message = "`max_tokens` must be at least 1".to_owned();
        return Err(Failure {
            code: FailureCode::BadRequest,
            ran: Ran::NotRun,
            retry_after: None,
            message,
        });
    }
    let prefix = prefix_hashes(&prompt);
    let version = found.version.clone();
    Ok(Task::Model { model, version, adapter, prompt, max_tokens, prefix, delivered: Vec::new() })
}

fn class_of(id: &ServiceId, service: &Service, asked: Option<ClassId>) -> Result<Class> {
    let class = asked.as_ref().unwrap_or(&service.default_class);
    let found = service.classes.get(class).copied();
    found.ok_or_else(|| not_found(format!("service `{id}` has no priority class `{class}`")))
}

fn models(document: &Document) -> Vec<String> {
    let mut names = Vec::new();
    for (model, found) in document.services.values().flat_map(|s| &s.models) {
        names.push(model.to_string());
        names.extend(found.adapters.keys().map(|a| format!("{model}:{a}")));
    }
    names
}
