//! Messages between nodes, to upstreams, to the platform and to operators.
