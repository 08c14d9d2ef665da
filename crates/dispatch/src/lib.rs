//! Decisions under load: admission, queues, refusal, engine choice, retry budget.
