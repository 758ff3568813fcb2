//! Links between processes over connections that stop delivering.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io,
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use yuccamux::{
    cell::cell_message::CellMessage,
    peer_message::PeerMessage,
    prelude::*,
    vm_layout::{VmLayout, VmRole, VmSpec},
};
use yuccamux_adapters::{
    link_key::LinkKeys,
    peer_link::{AddressBook, LinkSockets, PeerInput, PeerLink},
};

/// Time within which a connection without acknowledgements must be closed.
const CLOSE_LIMIT: Duration = Duration::from_millis(1_500);

struct LinkEnd {
    link: PeerLink,
    inbox: mpsc::UnboundedReceiver<PeerInput>,
}

fn start(own: &str, sockets: LinkSockets, peers: &[(&str, SocketAddr)]) -> LinkEnd {
    let vms = peers.iter().map(|(name, address)| VmSpec {
        role: VmRole::Entry,
        name: VmName::from(*name),
        centre: DataCentre::from("munich"),
        address: address.to_string(),
    });
    let book = AddressBook::from_layout(&VmLayout::new(vms.collect())).unwrap();
    let (sender, inbox) = mpsc::unbounded_channel();
    let keys = LinkKeys::without_secret();
    let link = PeerLink::start(book, &VmName::from(own), keys, sockets, sender).unwrap();
    LinkEnd { link, inbox }
}

fn bind() -> (LinkSockets, SocketAddr) {
    let sockets = LinkSockets::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = sockets.address().unwrap();
    (sockets, address)
}

fn message() -> PeerMessage {
    PeerMessage::Cell(CellMessage::EndpointsRequest)
}

/// Accepts bytes on every connection, but forwards none from the first `n_silent`.
async fn proxy(to: SocketAddr, n_silent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let n_opened = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let number = n_opened.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                if number < n_silent {
                    let _ = io::copy(&mut near, &mut io::sink()).await;
                } else if let Ok(mut far) = TcpStream::connect(to).await {
                    let _ = io::copy_bidirectional(&mut near, &mut far).await;
                }
            });
        }
    });
    address
}

async fn next(end: &mut LinkEnd, limit: Duration) -> Option<PeerInput> {
    time::timeout(limit, end.inbox.recv()).await.ok().flatten()
}

#[tokio::test]
async fn connection_that_accepts_bytes_but_delivers_none_is_closed() {
    let (near_sockets, near_address) = bind();
    let (far_sockets, far_address) = bind();
    let through = proxy(far_address, 1).await;
    let mut near = start("near", near_sockets, &[("far", through)]);
    let mut far = start("far", far_sockets, &[("near", near_address)]);
    near.link.send(&VmName::from("far"), &message());
    let broken = next(&mut near, CLOSE_LIMIT).await;
    assert!(matches!(broken, Some(PeerInput::ConnectionLost(_))), "{broken:?}");
    // The next connection delivers.
    near.link.send(&VmName::from("far"), &message());
    let received = next(&mut far, CLOSE_LIMIT).await;
    assert!(matches!(received, Some(PeerInput::Message(..))), "{received:?}");
}

#[tokio::test]
async fn idle_and_busy_connections_that_deliver_are_kept() {
    let (near_sockets, near_address) = bind();
    let (far_sockets, far_address) = bind();
    let mut near = start("near", near_sockets, &[("far", far_address)]);
    let mut far = start("far", far_sockets, &[("near", near_address)]);
    for pause_ms in [0, 10, 300, 10, 1_200] {
        time::sleep(Duration::from_millis(pause_ms)).await;
        near.link.send(&VmName::from("far"), &message());
        let received = next(&mut far, CLOSE_LIMIT).await;
        assert!(matches!(received, Some(PeerInput::Message(..))), "{received:?}");
    }
    let broken = next(&mut near, CLOSE_LIMIT).await;
    assert!(broken.is_none(), "{broken:?}");
}
