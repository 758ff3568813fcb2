//! TCP and UDP between the system's own processes.
//!
//! A process keeps one connection to each other VM for what it sends and accepts one
//! from each for what it receives. Messages to a VM stay in order while its connection
//! lives; a broken connection loses what was on its way, which every protocol above
//! tolerates. Frames are postcard with a length and a keyed hash.

use std::{
    net::{self, SocketAddr},
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use yuccamux::{
    peer_message::{PeerDatagram, PeerMessage},
    prelude::VmName,
    vm_layout::VmLayout,
};

use crate::link_key::LinkKeys;

/// Messages that wait for a VM's connection before more are dropped.
const MAX_WAITING: usize = 65_536;
/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 256 << 20;
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a connection could not be made.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// A message that has come.
#[derive(Debug)]
pub enum PeerInput {
    /// By TCP.
    Message(VmName, PeerMessage),
    /// By UDP.
    Datagram(VmName, PeerDatagram),
}

/// VMs with which nothing is exchanged, for trials of cut links.
#[cfg(feature = "fault-injection")]
#[derive(Clone, Debug, Default)]
pub struct CutSwitch {
    /// VMs from which nothing is taken.
    pub from: Arc<std::sync::Mutex<indexmap::IndexSet<VmName>>>,
    /// VMs to which nothing is sent.
    pub to: Arc<std::sync::Mutex<indexmap::IndexSet<VmName>>>,
}

/// A VM's bound sockets.
#[derive(Debug)]
pub struct LinkSockets {
    listener: net::TcpListener,
    socket: net::UdpSocket,
}

impl LinkSockets {
    /// Binds TCP and UDP on an address; port 0 takes one that is free for both.
    ///
    /// # Errors
    ///
    /// When the address is not of this machine or in use.
    pub fn bind(address: SocketAddr) -> anyhow::Result<LinkSockets> {
        loop {
            let listener = net::TcpListener::bind(address)
                .with_context(|| format!("could not listen on {address}, from --vms"))?;
            let bound = listener.local_addr()?;
            match net::UdpSocket::bind(bound) {
                Ok(socket) => {
                    listener.set_nonblocking(true)?;
                    socket.set_nonblocking(true)?;
                    return Ok(LinkSockets { listener, socket });
                }
                // The system chose a port whose UDP side is taken.
                Err(_) if address.port() == 0 => {}
                Err(error) => {
                    return Err(error)
                        .with_context(|| format!("could not bind UDP {address}, from --vms"));
                }
            }
        }
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }
}

/// The sending side.
#[derive(Clone)]
pub struct PeerLink {
    own: VmName,
    keys: Arc<LinkKeys>,
    senders: IndexMap<VmName, mpsc::Sender<Bytes>>,
    addresses: Arc<IndexMap<VmName, SocketAddr>>,
    socket: Arc<UdpSocket>,
    n_sent: u64,
    n_sent_bytes: u64,
    /// Links that are cut.
    #[cfg(feature = "fault-injection")]
    pub cuts: CutSwitch,
}

impl PeerLink {
    /// Starts to send and receive as VM `own`, on the runtime of the caller.
    ///
    /// # Errors
    ///
    /// When an address of the layout is malformed or the sockets cannot be used.
    pub fn start(
        layout: &VmLayout,
        own: &VmName,
        keys: LinkKeys,
        sockets: LinkSockets,
        inbox: mpsc::UnboundedSender<PeerInput>,
    ) -> anyhow::Result<PeerLink> {
        let mut addresses = IndexMap::new();
        for vm in layout.vms() {
            let address: SocketAddr = vm.address.parse().context("a VM's address is IP:PORT")?;
            addresses.insert(vm.name.clone(), address);
        }
        let listener = TcpListener::from_std(sockets.listener)?;
        let socket = Arc::new(UdpSocket::from_std(sockets.socket)?);
        let keys = Arc::new(keys);
        let mut senders = IndexMap::new();
        for (vm, address) in &addresses {
            if vm != own {
                let (sender, waiting) = mpsc::channel(MAX_WAITING);
                tokio::spawn(send_frames(*address, waiting));
                senders.insert(vm.clone(), sender);
            }
        }
        let link = PeerLink {
            own: own.clone(),
            keys,
            senders,
            addresses: Arc::new(addresses),
            socket,
            n_sent: 0,
            n_sent_bytes: 0,
            #[cfg(feature = "fault-injection")]
            cuts: CutSwitch::default(),
        };
        tokio::spawn(accept_connections(listener, link.clone(), inbox.clone()));
        tokio::spawn(receive_datagrams(link.clone(), inbox));
        Ok(link)
    }

    /// Messages and datagrams sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (self.n_sent, self.n_sent_bytes)
    }

    /// Sends a message by TCP; drops it when too many wait.
    pub fn send(&mut self, to: &VmName, message: &PeerMessage) {
        if self.is_cut_to(to) {
            return;
        }
        let frame = self.seal(message);
        self.n_sent += 1;
        self.n_sent_bytes += frame.len() as u64;
        if let Some(sender) = self.senders.get(to) {
            // A full queue means that the VM cannot be reached: senders ask again.
            let _ = sender.try_send(Bytes::from(frame));
        }
    }

    /// Sends a message by UDP.
    pub fn send_datagram(&mut self, to: &VmName, datagram: &PeerDatagram) {
        if self.is_cut_to(to) {
            return;
        }
        let frame = self.seal(datagram);
        self.n_sent += 1;
        self.n_sent_bytes += frame.len() as u64;
        if let Some(address) = self.addresses.get(to) {
            // Datagrams may be lost anyway.
            let _ = self.socket.try_send_to(&frame, *address);
        }
    }

    fn seal(&self, body: &impl Serialize) -> Vec<u8> {
        let mut frame = postcard::to_stdvec(&(&self.own, body)).unwrap_or_default();
        self.keys.seal(&mut frame);
        frame
    }

    fn open<T: DeserializeOwned>(&self, sealed: &[u8]) -> Option<(VmName, T)> {
        let frame = self.keys.open(sealed)?;
        let (from, body): (VmName, T) = postcard::from_bytes(frame).ok()?;
        let is_known = self.addresses.contains_key(&from) && !self.is_cut_from(&from);
        is_known.then_some((from, body))
    }

    #[cfg(feature = "fault-injection")]
    fn is_cut_to(&self, vm: &VmName) -> bool {
        self.cuts.to.lock().is_ok_and(|it| it.contains(vm))
    }

    #[cfg(feature = "fault-injection")]
    fn is_cut_from(&self, vm: &VmName) -> bool {
        self.cuts.from.lock().is_ok_and(|it| it.contains(vm))
    }

    #[cfg(not(feature = "fault-injection"))]
    fn is_cut_to(&self, _vm: &VmName) -> bool {
        false
    }

    #[cfg(not(feature = "fault-injection"))]
    fn is_cut_from(&self, _vm: &VmName) -> bool {
        false
    }
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Keeps a connection to `address` and writes what waits, as much as there is at once.
async fn send_frames(address: SocketAddr, mut waiting: mpsc::Receiver<Bytes>) {
    while let Some(frame) = waiting.recv().await {
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connecting else {
            // What waits for an unreachable VM is stale by the time it is back.
            while waiting.try_recv().is_ok() {}
            time::sleep(CONNECT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        // Every end of the connection is found by a failed write.
        let _ = write_frames(stream, frame, &mut waiting).await;
    }
}

async fn write_frames(
    stream: TcpStream,
    first: Bytes,
    waiting: &mut mpsc::Receiver<Bytes>,
) -> std::io::Result<()> {
    let mut sink = FramedWrite::new(stream, frame_codec());
    sink.feed(first).await?;
    loop {
        while let Ok(frame) = waiting.try_recv() {
            sink.feed(frame).await?;
        }
        SinkExt::<Bytes>::flush(&mut sink).await?;
        let Some(frame) = waiting.recv().await else { return Ok(()) };
        sink.feed(frame).await?;
    }
}

async fn accept_connections(
    listener: TcpListener,
    link: PeerLink,
    inbox: mpsc::UnboundedSender<PeerInput>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(CONNECT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(read_frames(stream, link.clone(), inbox.clone()));
    }
}

async fn read_frames(stream: TcpStream, link: PeerLink, inbox: mpsc::UnboundedSender<PeerInput>) {
    let mut frames = FramedRead::new(stream, frame_codec());
    while let Some(Ok(sealed)) = frames.next().await {
        let Some((from, message)) = link.open(&sealed) else { continue };
        if inbox.send(PeerInput::Message(from, message)).is_err() {
            return;
        }
    }
}

async fn receive_datagrams(link: PeerLink, inbox: mpsc::UnboundedSender<PeerInput>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here is that of an earlier send to a closed port.
        let Ok((n_bytes, _)) = link.socket.recv_from(&mut buffer).await else { continue };
        let Some((from, datagram)) = link.open(&buffer[..n_bytes]) else { continue };
        if inbox.send(PeerInput::Datagram(from, datagram)).is_err() {
            return;
        }
    }
}
