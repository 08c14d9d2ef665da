//! `serve` on the platform of the users, with settings from the platform's settings file.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use hgw_events::{Event, emit};
use hgw_gateway::{Ended, Settings, Signal};
use hgw_platform::SettingsFile;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::command::ServeFlags;
use crate::settings::PlatformOverrides;
use crate::{Env, Error, Result, logs};

/// Interval at which the settings file is checked for changes that come without SIGHUP.
const FILE_CHECK: Duration = Duration::from_secs(1);

/// Runs a node until it stops: the first signal starts a graceful shutdown, a second one forces the end.
pub(crate) fn serve(path: &Path, flags: &ServeFlags, env: &Env<'_>) -> Result<()> {
    let overrides = PlatformOverrides::read(flags, env)?;
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)?;
    logs::start_buffered_logs(overrides.log_format, overrides.log_level)?;
    let SettingsFile { settings, store } = hgw_platform::read_settings(path)?;
    let settings = overrides.apply(settings);
    let node = settings.node.clone();
    emit(
        Event::ProcessStarted,
        &[
            ("node", &node),
            ("domain", &settings.domain),
            ("callers", &settings.callers),
            ("peers", &settings.peers),
            ("operators", &"none"),
        ],
    );
    let (to_node, from_outside) = unbounded_channel();
    let watched = Watched { path: path.to_owned(), overrides, known: settings.clone() };
    let to_watcher = to_node.clone();
    thread::spawn(move || watched.watch(&to_watcher));
    let watched = Watched { path: path.to_owned(), overrides, known: settings.clone() };
    thread::spawn(move || pass_signals_on(signals, watched, &to_node));
    let ended = hgw_gateway::run(settings, hgw_platform::dialects(store), from_outside);
    match ended.map_err(Error::Listen)? {
        Ended::Stopped => {
            emit(Event::ProcessStopped, &[("node", &node)]);
            logs::flush();
            Ok(())
        }
        Ended::Killed => Err(Error::NotFinished(hgw_net::Exit::Killed)),
    }
}

fn pass_signals_on(mut signals: Signals, mut watched: Watched, to_node: &UnboundedSender<Signal>) {
    let mut stopping = false;
    for signal in signals.forever() {
        if signal == SIGHUP {
            watched.look(to_node);
            continue;
        }
        let sent = to_node.send(if stopping { Signal::Kill } else { Signal::Stop });
        if stopping {
            emit(Event::StopForced, &[("node", &watched.known.node)]);
        }
        stopping = true;
        if sent.is_err() {
            return;
        }
    }
}

/// The settings file and its last valid content.
struct Watched {
    path: PathBuf,
    overrides: PlatformOverrides,
    known: Settings,
}

impl Watched {
    fn watch(mut self, to_node: &UnboundedSender<Signal>) {
        let mut seen = modified(&self.path);
        loop {
            thread::sleep(FILE_CHECK);
            let now = modified(&self.path);
            if now != seen {
                seen = now;
                self.look(to_node);
            }
        }
    }

    /// Reads the file and sends changed settings to the node; an invalid file changes nothing.
    fn look(&mut self, to_node: &UnboundedSender<Signal>) {
        match hgw_platform::read_settings(&self.path) {
            Ok(file) => {
                let settings = self.overrides.apply(file.settings);
                if settings != self.known {
                    emit(Event::SettingsChanged, &[("node", &settings.node)]);
                    self.known = settings.clone();
                    // The send fails only if the node has ended.
                    let _ = to_node.send(Signal::Settings(Box::new(settings)));
                }
            }
            Err(e) => {
                emit(Event::SettingsRejected, &[("node", &self.known.node), ("reason", &e)]);
            }
        }
    }
}

fn modified(path: &Path) -> Option<(std::time::SystemTime, u64)> {
    let data = std::fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.len()))
}
