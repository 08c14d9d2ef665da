//! Small stand-ins for upstreams and the platform, the demo and the load tool.
