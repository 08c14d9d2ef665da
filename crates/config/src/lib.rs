//! Operators' configuration: documents, checks and the fold.
