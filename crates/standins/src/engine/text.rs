//! The text that a stand-in engine generates.

use hgw_types::{AdapterId, ModelId, VersionId};
use xxhash_rust::xxh3::Xxh3;

/// Consonants and vowels that the words are made of; 16 and 4, so that a hash picks evenly.
const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";
/// Syllables of a word: enough that a missing or repeated word shows.
const SYLLABLES: usize = 3;

/// What a text is made from.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// Its version.
    pub version: &'a VersionId,
    /// The adapter, if one is used.
    pub adapter: Option<&'a AdapterId>,
    /// The conversation as the engine gets it.
    pub prompt: &'a str,
}

impl Source<'_> {
    /// The token at `index`.
    pub fn token(&self, index: u32) -> String {
        let mut hash = Xxh3::new();
        let adapter = self.adapter.map_or("", AdapterId::as_str);
        for part in [self.model.as_str(), self.version.as_str(), adapter, self.prompt] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&index.to_le_bytes());
        word(hash.digest())
    }

    /// The first `tokens` tokens.
    pub fn tokens(&self, tokens: u32) -> Vec<String> {
        (0..tokens).map(|index| self.token(index)).collect()
    }

    /// The text of the first `tokens` tokens: a whole answer, to compare one with.
    pub fn expected_text(&self, tokens: u32) -> String {
        self.tokens(tokens).concat()
    }
}

fn word(mut hash: u64) -> String {
    let mut word = String::with_capacity(1 + 2 * SYLLABLES);
    for _ in 0..SYLLABLES {
        word.push(char::from(CONSONANTS[(hash & 15) as usize]));
        word.push(char::from(VOWELS[(hash >> 4 & 3) as usize]));
        hash >>= 6;
    }
    word.push(' ');
    word
}
