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
pub fn init_logging(format: LogFormat, level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for(hgw_events::TARGET, level)
        .format(move |out, _, record| match format {
            LogFormat::Plain => out.finish(format_args!("{}", format_plain(record))),
            LogFormat::Json => out.finish(format_args!("{}", format_json(record))),
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Lines that fit in the queue of the writer thread. Further ones are counted and dropped, so that a
/// standard output that nobody reads does not block requests.
const QUEUE_LINES: usize = 4_096;

/// Interval between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for queued lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

enum Message {
    Text(String),
    /// Acknowledged after all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Starts logging to standard output on a separate thread, so that requests never wait for output.
pub(crate) fn init_buffered_logging(format: LogFormat, level: LevelFilter) -> Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let _ = QUEUE.set(sender);
    let spawned = thread::Builder::new().name("logs".into()).spawn(move || write_lines(&receiver));
    spawned.map_err(Error::Runtime)?;
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for(hgw_events::TARGET, level)
        .chain(fern::Output::call(move |record| {
            let text = match format {
                LogFormat::Plain => format_plain(record),
                LogFormat::Json => format_json(record),
            };
            let sent = QUEUE.get().map(|sender| sender.try_send(Message::Text(text)));
            if !matches!(sent, Some(Ok(()))) {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("hgw_log_lines_left_out_total").increment(1);
            }
        }))
        .apply()?;
    Ok(())
}

/// Waits until the queued lines are written, for at most [`FLUSH_TIMEOUT`].
pub(crate) fn flush() {
    let (done_tx, done_rx) = sync_channel(1);
    if QUEUE.get().is_some_and(|sender| sender.try_send(Message::Flush(done_tx)).is_ok()) {
        // After a timeout nobody reads the output, and the process ends without the last lines.
        let _ = done_rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(receiver: &Receiver<Message>) {
    let mut out = std::io::stdout();
    let mut last_report = Instant::now();
    loop {
        let line = match receiver.recv_timeout(DROP_REPORT_INTERVAL) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // Errors are ignored: if standard output is closed, there is nowhere to report it.
        match line {
            Some(Message::Text(text)) => drop(writeln!(out, "{text}")),
            Some(Message::Flush(done_tx)) => drop(done_tx.try_send(())),
            None => {}
        }
        if last_report.elapsed() >= DROP_REPORT_INTERVAL {
            last_report = Instant::now();
            let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                hgw_events::emit(hgw_events::Event::LinesLeftOut, &[("count", &dropped)]);
            }
        }
    }
}

fn format_plain(record: &Record<'_>) -> String {
    let fields = Fields::of(record);
    let event_number = fields.event_number.map_or_else(|| "-".to_owned(), |n| n.to_string());
    let mut line =
        format!("{} {:5} {event_number} {}", unix_timestamp(), record.level(), record.args());
    for (key, value) in fields.pairs {
        line.push_str(&format!(" {key}={value}"));
    }
    line
}

/// Writes into one buffer, since there is a line for each request.
fn format_json(record: &Record<'_>) -> String {
    let mut line = JsonLine(Vec::with_capacity(LINE_CAPACITY_BYTES));
    line.0.push(b'{');
    line.field("time", &unix_timestamp());
    line.field("level", &record.level().as_str().to_lowercase());
    line.field("text", &record.args().to_string());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut line);
    line.0.push(b'}');
    String::from_utf8_lossy(&line.0).into_owned()
}

/// Initial capacity, enough for a typical line.
const LINE_CAPACITY_BYTES: usize = 384;

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
            Some(event_number) => {
                self.key(NUMBER_KEY);
                self.0.extend_from_slice(event_number.to_string().as_bytes());
            }
            None => self.field(key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

/// Seconds since the Unix epoch, with three decimals.
fn unix_timestamp() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}

/// The fields of a record, with the event number separated.
#[derive(Debug, Default)]
struct Fields {
    event_number: Option<u64>,
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
            self.event_number = value.to_u64();
        } else {
            self.pairs.push((key.as_str().to_owned(), value.to_string()));
        }
        Ok(())
    }
}
