//! Threads for callers, peers, upstreams, platform and operators.
