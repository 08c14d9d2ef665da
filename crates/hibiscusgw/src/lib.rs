//! The gateway as a library: settings, command line, logs and assembly.
