//! Ids: names that operators or callers choose, and unique ids that nodes generate.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{ParseError, Result};

const MAX_NAME_BYTES: usize = 128;

const NAME_RULE: &str = "1 to 128 of A-Z a-z 0-9 . _ : / @ + -";

fn is_valid_name(s: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:/@+-".contains(&b);
    !s.is_empty() && s.len() <= MAX_NAME_BYTES && s.bytes().all(allowed)
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self> {
                if is_valid_name(s) {
                    Ok($name(s.into()))
                } else {
                    Err(ParseError::new($kind, s, NAME_RULE))
                }
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

name_types! {
    /// A node: one process of the gateway. Unique among running nodes.
    NodeId = "node id";
    DomainId = "failure domain id";
    /// A region: a group of failure domains.
    RegionId = "region id";
    ServiceId = "service id";
    ModelId = "model id";
    AdapterId = "adapter id";
    /// A version of a model or of an adapter.
    VersionId = "version id";
    /// An upstream: a model engine, or a server of a plain service.
    UpstreamId = "upstream id";
    ClassId = "priority class id";
    /// A caller's request; chosen by the caller or by the node that received it.
    RequestId = "request id";
    IdempotencyKey = "idempotency key";
    /// What a lease is held on, such as `keeper/stgo-a`.
    Scope = "scope";
    /// A stream of the platform's log.
    StreamName = "stream name";
}

impl Scope {
    /// The scope of a failure domain's leader.
    pub fn keeper(domain: &DomainId) -> Scope {
        Scope(format!("keeper/{domain}").into())
    }

    /// The scope of the node that plans a region's minimum number of model replicas.
    pub fn planner(region: &RegionId) -> Scope {
        Scope(format!("planner/{region}").into())
    }

    /// The scope of one shard of the idempotency keys.
    pub fn key_shard(shard: u32) -> Scope {
        Scope(format!("once/{shard}").into())
    }

    /// The log stream with the lease records of this scope.
    pub fn stream(&self) -> StreamName {
        StreamName(self.0.replace('/', ".").into())
    }
}

impl StreamName {
    /// The stream of accepted and rejected configuration changes.
    pub fn config() -> StreamName {
        StreamName("config".into())
    }
}

const GENERATED_ID_RULE: &str = "a hexadecimal number, `-` and a decimal number";

macro_rules! generated_ids {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name {
            /// Random number that the node generated at startup.
            pub boot: u64,
            /// Counter within the process.
            pub seq: u64,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}-{}", self.boot, self.seq)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self> {
                let parts = s.split_once('-').and_then(|(boot, seq)| {
                    Some($name { boot: u64::from_str_radix(boot, 16).ok()?, seq: seq.parse().ok()? })
                });
                parts.ok_or_else(|| ParseError::new($kind, s, GENERATED_ID_RULE))
            }
        }
    )*};
}

generated_ids! {
    /// An attempt of a request at an upstream; unique across nodes and restarts.
    AttemptId = "attempt id";
    /// A log record. Identifies duplicates, and records whose append got no response.
    RecordId = "record id";
}
