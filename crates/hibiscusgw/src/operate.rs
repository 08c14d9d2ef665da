//! `apply`, `outcome`, `get`, `status` and `state`: operator calls to a node.

use hgw_wire::operator::apply_reply::Outcome;
use hgw_wire::operator::{ApplyReply, ApplyRequest};
use tokio::runtime::{Builder, Runtime};

use crate::check::read_document;
use crate::client::{self, Client};
use crate::command::{ApplyFlags, NodeFlags};
use crate::settings::OperatorSettings;
use crate::{Console, Env, Error, Result};

/// Blocking wrapper of the operator [`Client`].
struct BlockingClient {
    runtime: Runtime,
    inner: Client,
}

impl BlockingClient {
    fn new(flags: &NodeFlags, env: &Env<'_>) -> Result<BlockingClient> {
        let settings = OperatorSettings::read(flags, env)?;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
        let inner = Client::new(settings.operators, &settings.operator_token);
        Ok(BlockingClient { runtime, inner })
    }

    fn block_on<T>(&self, call: impl Future<Output = client::Result<T>>) -> Result<T> {
        self.runtime.block_on(call).map_err(Error::Call)
    }
}

/// Publishes a document and prints the outcome.
pub(crate) fn apply(flags: &ApplyFlags, env: &Env<'_>, console: &mut Console<'_>) -> Result<()> {
    let file = &flags.file;
    let document = read_document(file)?;
    let client = BlockingClient::new(&flags.node(), env)?;
    let id = flags.id.clone().unwrap_or_default();
    let req = ApplyRequest { id, base: flags.base, document };
    let reply = client.block_on(client.inner.apply(&req))?;
    print_outcome(file, reply, console)
}

/// Prints the outcome of a change.
pub(crate) fn outcome(
    id: &str,
    flags: &NodeFlags,
    env: &Env<'_>,
    console: &mut Console<'_>,
) -> Result<()> {
    let client = BlockingClient::new(flags, env)?;
    let reply = client.block_on(client.inner.outcome(id))?;
    print_outcome("the change", reply, console)
}

fn print_outcome(subject: &str, reply: ApplyReply, console: &mut Console<'_>) -> Result<()> {
    let id = reply.id;
    let message = match reply.outcome {
        Some(Outcome::Accepted(accepted)) => {
            writeln!(
                console.out,
                "{subject}: in force as version {}, change {id}",
                accepted.version
            )?;
            return Ok(());
        }
        Some(Outcome::Invalid(invalid)) => {
            return Err(Error::Document { file: subject.to_owned(), errors: invalid.faults });
        }
        Some(Outcome::Superseded(superseded)) => format!(
            "another change was accepted first and version {} is in force; redo the change from it",
            superseded.current
        ),
        Some(Outcome::NotPublished(_)) => {
            "the log cannot be reached: nothing was published; try again later".to_owned()
        }
        Some(Outcome::Unknown(_)) | None => {
            format!("the outcome is not known yet; query it with `hibiscusgw outcome {id}`")
        }
    };
    Err(Error::ChangeNotApplied { subject: subject.to_owned(), message })
}

/// Prints the document in force to standard output and its version to standard error, so that the output
/// can be edited and applied again.
pub(crate) fn get(flags: &NodeFlags, env: &Env<'_>, console: &mut Console<'_>) -> Result<()> {
    let client = BlockingClient::new(flags, env)?;
    let reply = client.block_on(client.inner.get())?;
    writeln!(console.out, "{}", pretty_json(&reply.document))?;
    writeln!(console.err, "version {}", reply.version)?;
    Ok(())
}

/// The document with indentation, or unchanged if it is not JSON.
fn pretty_json(document: &[u8]) -> String {
    let value: Option<serde_json::Value> = serde_json::from_slice(document).ok();
    let text = value.and_then(|v| serde_json::to_string_pretty(&v).ok());
    text.unwrap_or_else(|| String::from_utf8_lossy(document).into_owned())
}

/// Prints the members that the node knows, one per line.
pub(crate) fn status(flags: &NodeFlags, env: &Env<'_>, console: &mut Console<'_>) -> Result<()> {
    let client = BlockingClient::new(flags, env)?;
    let reply = client.block_on(client.inner.status())?;
    writeln!(
        console.out,
        "ready {}  log {}",
        yes_or_no(reply.ready),
        if reply.log_up { "up" } else { "down" }
    )?;
    for member in reply.members {
        writeln!(
            console.out,
            "{}  {}  alive {}  version {}",
            member.node,
            member.domain,
            yes_or_no(member.alive),
            member.config
        )?;
    }
    Ok(())
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

pub(crate) fn state(flags: &NodeFlags, env: &Env<'_>, console: &mut Console<'_>) -> Result<()> {
    let client = BlockingClient::new(flags, env)?;
    let reply = client.block_on(client.inner.state())?;
    writeln!(console.out, "{}", reply.json)?;
    Ok(())
}
