//! Numbered log events.
