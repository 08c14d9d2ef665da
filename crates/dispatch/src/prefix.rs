use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt in one block; engines cache prompts by blocks of some 64 tokens of 4 bytes.
pub const PREFIX_BLOCK: usize = 256;

/// Blocks of a prompt that are told apart: beyond, prompts that share so much share an engine.
const MAX_BLOCKS: usize = 16;

/// Hashes of the prompt's leading whole blocks, shortest prefix first; each covers all before it.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut seed = 0;
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
