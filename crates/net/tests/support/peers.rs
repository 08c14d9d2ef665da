//! Nodes that dial each other, and what their machines hear.

use std::sync::mpsc;

use hgw_net::{Running, Settings};
use hgw_node::{Action, Event};
use hgw_types::{NodeId, Offset};
use hgw_wire::peer::Message;

use super::relay::{Relay, start};

/// A node that connects to `to` when it is told to stop, and says something at once.
pub(crate) fn dialer(
    settings: Settings,
    to: &str,
    addr: String,
) -> (Running, mpsc::Receiver<Event>) {
    let (mut relay, seen) = Relay::new("");
    let peer: NodeId = to.parse().unwrap();
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            out.push(Action::Connect { peer: peer.clone(), addr: addr.clone() });
            out.push(say(&peer, 1));
        }
        matches!(event, Event::Stop)
    });
    (start(settings, relay), seen)
}

pub(crate) fn say(to: &NodeId, have: u64) -> Action {
    let message = Message::AskConfig { have: Offset(have) };
    Action::Send { to: to.clone(), message: Box::new(message) }
}

pub(crate) fn is_down(event: Event) -> Option<NodeId> {
    match event {
        Event::PeerDown { peer } => Some(peer),
        Event::PeerUp { peer, .. } => panic!("{peer} got in"),
        _ => None,
    }
}

pub(crate) fn heard(event: Event) -> Option<u64> {
    match event {
        Event::Message { message, .. } => match *message {
            Message::AskConfig { have } => Some(have.0),
            _ => None,
        },
        _ => None,
    }
}
