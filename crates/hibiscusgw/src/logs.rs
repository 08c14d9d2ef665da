//! Log output: one line per event, as plain text or JSON.

use std::fmt;
use std::io::Write;
use std::str::FromStr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hgw_events::NUMBER_KEY;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::{Error, Result};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    Plain,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = hgw_types::ParseError;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        match s {
            "plain" => Ok(LogFormat::Plain),
            "json" => Ok(LogFormat::Json),
            _ => Err(hgw_types::ParseError::new("log format", s, "plain or json")),
        }
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogFormat::Plain => "plain",
            LogFormat::Json => "json",
        })
    }
}

/// Starts logging to standard error: the gateway's own events, and those of libraries from level `warn`.
pub fn start_logs(format: LogFormat, level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for(hgw_events::TARGET, level)
        .format(move |out, _, record| match format {
            LogFormat::Plain => out.finish(format_args!("{}", plain(record))),
            LogFormat::Json => out.finish(format_args!("{}", json(record))),
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Lines that fit in the queue of the writer thread. Further ones are counted and dropped, so that a
/// standard output that nobody reads does not block requests.
const WAITING: usize = 4_096;

/// Interval between two reports of dropped lines.
const LEFT_OUT: Duration = Duration::from_secs(1);

/// Longest wait for queued lines at the end of the process.
const FLUSH: Duration = Duration::from_millis(200);

static LINES: OnceLock<SyncSender<Line>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

enum Line {
    Text(String),
    /// Acknowledged after all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Starts logging to standard output on a separate thread, so that requests never wait for output.
pub(crate) fn start_buffered_logs(format: LogFormat, level: LevelFilter) -> Result<()> {
    let (lines, waiting) = sync_channel(WAITING);
    let _ = LINES.set(lines);
    let spawned = thread::Builder::new().name("logs".into()).spawn(move || write_lines(&waiting));
    spawned.map_err(Error::Runtime)?;
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for(hgw_events::TARGET, level)
        .chain(fern::Output::call(move |record| {
            let text = match format {
                LogFormat::Plain => plain(record),
                LogFormat::Json => json(record),
            };
            let sent = LINES.get().map(|lines| lines.try_send(Line::Text(text)));
            if !matches!(sent, Some(Ok(()))) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("hgw_log_lines_left_out_total").increment(1);
            }
        }))
        .apply()?;
    Ok(())
}

/// Waits until the queued lines are written, for at most [`FLUSH`].
pub(crate) fn flush() {
    let (done, waits) = sync_channel(1);
    if LINES.get().is_some_and(|lines| lines.try_send(Line::Flush(done)).is_ok()) {
        // After a timeout nobody reads the output, and the process ends without the last lines.
        let _ = waits.recv_timeout(FLUSH);
    }
}

fn write_lines(waiting: &Receiver<Line>) {
    let mut out = std::io::stdout();
    let mut told = Instant::now();
    loop {
        let line = match waiting.recv_timeout(LEFT_OUT) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // Errors are ignored: if standard output is closed, there is nowhere to report it.
        match line {
            Some(Line::Text(text)) => drop(writeln!(out, "{text}")),
            Some(Line::Flush(done)) => drop(done.try_send(())),
            None => {}
        }
        if told.elapsed() >= LEFT_OUT {
            told = Instant::now();
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                hgw_events::emit(hgw_events::Event::LinesLeftOut, &[("count", &dropped)]);
            }
        }
    }
}

fn plain(record: &Record<'_>) -> String {
    let fields = Fields::of(record);
    let number = fields.number.map_or_else(|| "-".to_owned(), |n| n.to_string());
    let mut line = format!("{} {:5} {number} {}", unix_time(), record.level(), record.args());
    for (key, value) in fields.pairs {
        line.push_str(&format!(" {key}={value}"));
    }
    line
}

/// Writes into one buffer, since there is a line for each request.
fn json(record: &Record<'_>) -> String {
    let mut line = JsonLine(Vec::with_capacity(LINE));
    line.0.push(b'{');
    line.field("time", &unix_time());
    line.field("level", &record.level().as_str().to_lowercase());
    line.field("text", &record.args().to_string());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut line);
    line.0.push(b'}');
    String::from_utf8_lossy(&line.0).into_owned()
}

/// Initial capacity, enough for a typical line.
const LINE: usize = 384;

struct JsonLine(Vec<u8>);

impl JsonLine {
    fn field(&mut self, key: &str, value: &str) {
        self.key(key);
        self.text(value);
    }

    fn key(&mut self, key: &str) {
        if self.0.len() > 1 {
            self.0.push(b',');
        }
        self.text(key);
        self.0.push(b':');
    }

    fn text(&mut self, text: &str) {
        serde_json::to_writer(&mut self.0, text).expect("a buffer takes any text");
    }
}

impl<'kvs> VisitSource<'kvs> for JsonLine {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), log::kv::Error> {
        match value.to_u64().filter(|_| key.as_str() == NUMBER_KEY) {
            Some(number) => {
                self.key(NUMBER_KEY);
                self.0.extend_from_slice(number.to_string().as_bytes());
            }
            None => self.field(key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

/// Seconds since the Unix epoch, with three decimals.
fn unix_time() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}

/// The fields of a record, with the event number separated.
#[derive(Debug, Default)]
struct Fields {
    number: Option<u64>,
    pairs: Vec<(String, String)>,
}

impl Fields {
    fn of(record: &Record<'_>) -> Fields {
        let mut fields = Fields::default();
        // The visitor below never fails.
        let _ = record.key_values().visit(&mut fields);
        fields
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), log::kv::Error> {
        if key.as_str() == NUMBER_KEY {
            self.number = value.to_u64();
        } else {
            self.pairs.push((key.as_str().to_owned(), value.to_string()));
        }
        Ok(())
    }
}
