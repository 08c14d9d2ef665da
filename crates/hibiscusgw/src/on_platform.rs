//! `serve` on the platform of the users, with settings from the platform's settings file.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use hgw_events::{Event, emit};
use hgw_gateway::{ExitReason, Settings, Signal};
use hgw_platform::SettingsFile;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::command::ServeFlags;
use crate::settings::PlatformOverrides;
use crate::{Env, Error, Result, logging};

/// Interval at which the settings file is checked for changes that come without SIGHUP.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until it stops: the first signal starts a graceful shutdown, a second one forces the end.
pub(crate) fn serve(path: &Path, flags: &ServeFlags, env: &Env<'_>) -> Result<()> {
    let overrides = PlatformOverrides::read(flags, env)?;
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)?;
    logging::init_buffered_logging(overrides.log_format, overrides.log_level)?;
    let SettingsFile { settings, store, store_partitions } = hgw_platform::read_settings(path)?;
    let settings = overrides.apply(settings);
    let node = settings.node.clone();
    emit(
        Event::ProcessStarted,
        &[
            ("node", &node),
            ("domain", &settings.domain),
            ("callers", &settings.caller_addr),
            ("peers", &settings.peer_addr),
            ("operators", &"none"),
        ],
    );
    let (node_tx, node_rx) = unbounded_channel();
    let watcher = SettingsWatcher { path: path.to_owned(), overrides, current: settings.clone() };
    let watcher_tx = node_tx.clone();
    thread::spawn(move || watcher.poll(&watcher_tx));
    let watcher = SettingsWatcher { path: path.to_owned(), overrides, current: settings.clone() };
    thread::spawn(move || forward_signals(signals, watcher, &node_tx));
    let ended =
        hgw_gateway::run(settings, hgw_platform::protocols(store, store_partitions), node_rx);
    match ended.map_err(Error::Listen)? {
        ExitReason::Stopped => {
            emit(Event::ProcessStopped, &[("node", &node)]);
            logging::flush();
            Ok(())
        }
        ExitReason::Killed => Err(Error::ShutdownIncomplete(hgw_net::Exit::Killed)),
    }
}

fn forward_signals(
    mut signals: Signals,
    mut watcher: SettingsWatcher,
    node_tx: &UnboundedSender<Signal>,
) {
    let mut stopping = false;
    for signal in signals.forever() {
        if signal == SIGHUP {
            watcher.reload(node_tx);
            continue;
        }
        let sent = node_tx.send(if stopping { Signal::Kill } else { Signal::Stop });
        if stopping {
            emit(Event::StopForced, &[("node", &watcher.current.node)]);
        }
        stopping = true;
        if sent.is_err() {
            return;
        }
    }
}

/// The settings file and its last valid content.
struct SettingsWatcher {
    path: PathBuf,
    overrides: PlatformOverrides,
    current: Settings,
}

impl SettingsWatcher {
    fn poll(mut self, node_tx: &UnboundedSender<Signal>) {
        let mut seen = file_stamp(&self.path);
        loop {
            thread::sleep(FILE_CHECK_INTERVAL);
            let now = file_stamp(&self.path);
            if now != seen {
                seen = now;
                self.reload(node_tx);
            }
        }
    }

    /// Reads the file and sends changed settings to the node; an invalid file changes nothing.
    fn reload(&mut self, node_tx: &UnboundedSender<Signal>) {
        match hgw_platform::read_settings(&self.path) {
            Ok(file) => {
                let settings = self.overrides.apply(file.settings);
                if settings != self.current {
                    emit(Event::SettingsChanged, &[("node", &settings.node)]);
                    self.current = settings.clone();
                    // The send fails only if the node has ended.
                    let _ = node_tx.send(Signal::Settings(Box::new(settings)));
                }
            }
            Err(e) => {
                emit(Event::SettingsRejected, &[("node", &self.current.node), ("reason", &e)]);
            }
        }
    }
}

fn file_stamp(path: &Path) -> Option<(std::time::SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
