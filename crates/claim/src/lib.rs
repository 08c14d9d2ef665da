//! Claims on scopes over an append-only log.
