//! `check`: validates a configuration document offline.

use std::fs;

use crate::{Console, Error, Result};

pub(crate) fn check(file: &str, console: &mut Console<'_>) -> Result<()> {
    let document = read_document(file)?;
    let invalid_document = |errors: Vec<String>| Error::Document { file: file.to_owned(), errors };
    let document =
        hgw_config::parse(&document).map_err(|e| invalid_document(vec![e.to_string()]))?;
    hgw_config::check(&document)
        .map_err(|errors| invalid_document(errors.iter().map(ToString::to_string).collect()))?;
    let models: usize = document.services.values().map(|s| s.models.len()).sum();
    writeln!(
        console.out,
        "{file}: valid, with {} services, {models} models and {} upstreams",
        document.services.len(),
        document.upstreams.len()
    )?;
    Ok(())
}

pub(crate) fn read_document(file: &str) -> Result<Vec<u8>> {
    fs::read(file).map_err(|source| Error::File { file: file.to_owned(), source })
}
