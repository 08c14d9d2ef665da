use std::fmt;
use std::hash::Hash;
use std::marker::PhantomData;

use indexmap::IndexMap;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, Visitor};

use crate::{Document, ParseError, Result};

/// Largest document in bytes. 1,500 models with a few adapters each take about a quarter.
pub const MAX_DOCUMENT: usize = 2 * 1024 * 1024;

/// Reads a document from JSON, as operators write it.
pub fn parse(json: &[u8]) -> Result<Document> {
    if json.len() > MAX_DOCUMENT {
        return Err(ParseError::TooLarge { size: json.len(), limit: MAX_DOCUMENT });
    }
    serde_json::from_slice(json).map_err(|e| ParseError::Malformed { message: e.to_string() })
}

/// Reads a map and refuses a key that stands twice: the first value would be lost silently, and with
/// it a model that callers rely on.
pub(crate) fn unique<'de, D, K, V>(d: D) -> std::result::Result<IndexMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Deserialize<'de> + Hash + Eq + fmt::Display,
    V: Deserialize<'de>,
{
    d.deserialize_map(Unique(PhantomData))
}

struct Unique<K, V>(PhantomData<(K, V)>);

impl<'de, K, V> Visitor<'de> for Unique<K, V>
where
    K: Deserialize<'de> + Hash + Eq + fmt::Display,
    V: Deserialize<'de>,
{
    type Value = IndexMap<K, V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> std::result::Result<Self::Value, A::Error> {
        let mut found = IndexMap::new();
        while let Some((key, value)) = map.next_entry::<K, V>()? {
            if found.contains_key(&key) {
                return Err(A::Error::custom(format!("`{key}` stands twice")));
            }
            found.insert(key, value);
        }
        Ok(found)
    }
}
