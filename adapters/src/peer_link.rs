//! TCP and UDP between yuccamux processes.
//!
//! A process opens one connection to each other VM to send and accepts one from each to
//! receive. Messages to a VM arrive in order as long as its connection lasts. A connection is
//! closed when its bytes or its frames are not acknowledged in time, as one can stop
//! delivering without a reset.
//!
//! Every message either reaches the other process or is reported as lost, by the time of the
//! oldest one that may not have arrived: [`PeerInput::MessagesLost`]. Most protocols above repeat
//! what is not answered; those that send a change only once must act on that report.
//!
//! Frames are postcard with a length and a keyed hash. The first one of a connection shows who its
//! sender is; the module `link_handshake` reads it.

use std::{
    collections::VecDeque,
    io,
    net::{self, IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use log::debug;
use serde::{Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
    time::{self, Instant},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use yuccamux::{
    peer_message::{PeerDatagram, PeerMessage},
    prelude::{ClockTime, VmName},
    vm_layout::VmLayout,
};

use crate::{
    link_handshake::{self, KnownConnection},
    link_key::LinkKeys,
};

/// Messages queued for a VM's connection at most; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 65_536;
/// Largest frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 256 << 20;
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed attempt to connect or accept.
pub(crate) const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time without an acknowledgement after which a connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which received frames are acknowledged; several fit in [`ACK_TIMEOUT`].
const ACK_DELAY: Duration = Duration::from_millis(200);
/// Interval between TCP keepalive probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// An input from another VM.
#[derive(Debug)]
pub enum PeerInput {
    /// A message, by TCP.
    Message(VmName, PeerMessage),
    /// A datagram, by UDP.
    Datagram(VmName, PeerDatagram),
    /// A connection with a VM was lost.
    ConnectionLost(VmName),
    /// Messages sent to a VM at this time or later may not have arrived, and earlier ones have.
    MessagesLost(VmName, ClockTime),
}

/// A frame to send.
struct QueuedFrame {
    bytes: Bytes,
    sent_at: ClockTime,
}

/// Send times of a connection's frames that the other process has not acknowledged.
#[derive(Default)]
struct UnackedFrames {
    n_acked: u64,
    sent_at: VecDeque<ClockTime>,
}

impl UnackedFrames {
    /// Removes the acknowledged ones; the other process has received `n_received` in all.
    fn acknowledge(&mut self, n_received: u64) {
        let n_new = n_received.saturating_sub(self.n_acked).min(self.sent_at.len() as u64);
        self.sent_at.drain(..n_new as usize);
        self.n_acked += n_new;
    }
}

/// Maps VMs to network addresses.
#[derive(Clone, Debug)]
pub enum AddressBook {
    /// Only the listed VMs.
    Listed(IndexMap<VmName, SocketAddr>),
    /// Every VM is named by its IP address; all use this port.
    ByIp(u16),
}

impl AddressBook {
    /// Lists the VMs of a layout.
    ///
    /// # Errors
    ///
    /// When an address is malformed.
    pub fn from_layout(layout: &VmLayout) -> anyhow::Result<AddressBook> {
        let mut addresses = IndexMap::new();
        for vm in layout.vms() {
            let address: SocketAddr = vm.address.parse().context("a VM's address is IP:PORT")?;
            addresses.insert(vm.name.clone(), address);
        }
        Ok(AddressBook::Listed(addresses))
    }

    fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        match self {
            AddressBook::Listed(addresses) => addresses.get(vm).copied(),
            AddressBook::ByIp(port) => {
                let ip: IpAddr = vm.as_str().parse().ok()?;
                Some(SocketAddr::new(ip, *port))
            }
        }
    }
}

/// Links cut by fault injection.
#[cfg(feature = "fault-injection")]
#[derive(Clone, Debug, Default)]
pub struct LinkCuts {
    /// VMs whose messages are discarded.
    pub from: Arc<std::sync::Mutex<indexmap::IndexSet<VmName>>>,
    /// VMs to which messages are not sent.
    pub to: Arc<std::sync::Mutex<indexmap::IndexSet<VmName>>>,
}

/// A VM's bound sockets.
#[derive(Debug)]
pub struct LinkSockets {
    listener: net::TcpListener,
    socket: net::UdpSocket,
}

impl LinkSockets {
    /// Binds TCP and UDP on an address; port 0 selects one that is free for both.
    ///
    /// # Errors
    ///
    /// When the address is not local or in use.
    pub fn bind(address: SocketAddr) -> anyhow::Result<LinkSockets> {
        loop {
            let listener = net::TcpListener::bind(address)
                .with_context(|| format!("could not listen on {address}, from --vms"))?;
            let bound = listener.local_addr()?;
            match net::UdpSocket::bind(bound) {
                Ok(socket) => {
                    listener.set_nonblocking(true)?;
                    link_handshake::set_receive_buffer(&listener)?;
                    socket.set_nonblocking(true)?;
                    return Ok(LinkSockets { listener, socket });
                }
                // The system chose a port that is in use for UDP: try another.
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
    /// When the system call fails.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }
}

/// Sends messages to other VMs.
#[derive(Clone)]
pub struct PeerLink {
    own: VmName,
    keys: Arc<LinkKeys>,
    senders: IndexMap<VmName, mpsc::Sender<QueuedFrame>>,
    addresses: Arc<AddressBook>,
    inbox: mpsc::UnboundedSender<PeerInput>,
    socket: Arc<UdpSocket>,
    n_sent: u64,
    n_sent_bytes: u64,
    /// Links that fault injection has cut.
    #[cfg(feature = "fault-injection")]
    pub cuts: LinkCuts,
}

impl PeerLink {
    /// Starts to send and receive as VM `own`, on the caller's runtime.
    ///
    /// # Errors
    ///
    /// When the sockets cannot be used.
    pub fn start(
        addresses: AddressBook,
        own: &VmName,
        keys: LinkKeys,
        sockets: LinkSockets,
        inbox: mpsc::UnboundedSender<PeerInput>,
    ) -> anyhow::Result<PeerLink> {
        let listener = TcpListener::from_std(sockets.listener)?;
        let socket = Arc::new(UdpSocket::from_std(sockets.socket)?);
        let keys = Arc::new(keys);
        let link = PeerLink {
            own: own.clone(),
            keys,
            senders: IndexMap::new(),
            addresses: Arc::new(addresses),
            inbox: inbox.clone(),
            socket,
            n_sent: 0,
            n_sent_bytes: 0,
            #[cfg(feature = "fault-injection")]
            cuts: LinkCuts::default(),
        };
        tokio::spawn(link_handshake::accept_connections(listener, link.clone(), inbox.clone()));
        tokio::spawn(receive_datagrams(link.clone(), inbox));
        Ok(link)
    }

    /// Number of messages and datagrams sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (self.n_sent, self.n_sent_bytes)
    }

    /// Sends a message by TCP. If it may be lost, a report names `sent_at` or an earlier time.
    pub fn send(&mut self, to: &VmName, message: &PeerMessage, sent_at: ClockTime) {
        if self.is_cut_to(to) {
            return;
        }
        let frame = self.seal(message);
        self.n_sent += 1;
        self.n_sent_bytes += frame.len() as u64;
        let frame = QueuedFrame { bytes: Bytes::from(frame), sent_at };
        let is_dropped = self.sender(to).is_some_and(|it| it.try_send(frame).is_err());
        if is_dropped {
            // Reports must not overtake those about older messages, which are still queued.
            report_loss(&self.inbox, to, ClockTime::default());
        }
    }

    /// The queue of a VM's connection; the first use starts the connection.
    fn sender(&mut self, to: &VmName) -> Option<&mpsc::Sender<QueuedFrame>> {
        if !self.senders.contains_key(to) {
            let address = self.addresses.address(to).filter(|_| *to != self.own)?;
            let (sender, waiting) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let hello = link_handshake::hello_frame(self);
            tokio::spawn(send_frames(to.clone(), address, hello, waiting, self.inbox.clone()));
            self.senders.insert(to.clone(), sender);
        }
        self.senders.get(to)
    }

    /// Sends a message by UDP.
    pub fn send_datagram(&mut self, to: &VmName, datagram: &PeerDatagram) {
        self.send_datagrams(std::slice::from_ref(to), datagram);
    }

    /// Sends a message to several VMs by UDP; it is encoded once.
    pub fn send_datagrams(&mut self, to: &[VmName], datagram: &PeerDatagram) {
        let frame = self.seal(datagram);
        for vm in to {
            if self.is_cut_to(vm) {
                continue;
            }
            self.n_sent += 1;
            self.n_sent_bytes += frame.len() as u64;
            if let Some(address) = self.addresses.address(vm) {
                // Datagrams may be lost; the protocols above tolerate it.
                let _ = self.socket.try_send_to(&frame, address);
            }
        }
    }

    pub(crate) fn seal(&self, body: &impl Serialize) -> Vec<u8> {
        let mut frame = postcard::to_stdvec(&(&self.own, body)).unwrap_or_default();
        self.keys.seal(&mut frame);
        frame
    }

    pub(crate) fn open<T: DeserializeOwned>(&self, sealed: &[u8]) -> Option<(VmName, T)> {
        let frame = self.keys.open(sealed)?;
        let (from, body): (VmName, T) = postcard::from_bytes(frame).ok()?;
        let is_known = self.addresses.address(&from).is_some() && !self.is_cut_from(&from);
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

fn report_loss(inbox: &mpsc::UnboundedSender<PeerInput>, vm: &VmName, since: ClockTime) {
    // A closed channel means that the process is ending.
    let _ = inbox.send(PeerInput::MessagesLost(vm.clone(), since));
}

/// Connects to `address` whenever frames are queued, and writes them in batches.
async fn send_frames(
    vm: VmName,
    address: SocketAddr,
    hello: Bytes,
    mut waiting: mpsc::Receiver<QueuedFrame>,
    inbox: mpsc::UnboundedSender<PeerInput>,
) {
    while let Some(frame) = waiting.recv().await {
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connecting else {
            // Frames queued for an unreachable VM would be stale by the time it is back.
            while waiting.try_recv().is_ok() {}
            report_loss(&inbox, &vm, frame.sent_at);
            time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        prepare_stream(&stream);
        let mut unacked = UnackedFrames::default();
        let hello = QueuedFrame { bytes: hello.clone(), sent_at: frame.sent_at };
        let first = [hello, frame];
        if let Err(error) = write_frames(stream, first, &mut waiting, &mut unacked).await {
            debug!("lost the connection to {vm}: {error}");
        }
        // A closed channel means that the process is ending.
        let _ = inbox.send(PeerInput::ConnectionLost(vm.clone()));
        if let Some(oldest) = unacked.sent_at.front() {
            report_loss(&inbox, &vm, *oldest);
        }
    }
}

/// Writes frames until the connection is lost, or frames are not acknowledged in time. Leaves the
/// frames that may not have arrived in `unacked`.
///
/// The receiving process acknowledges frames, as TCP acknowledgements are not enough: a
/// proxy on the path may accept bytes and never deliver them.
async fn write_frames(
    stream: TcpStream,
    first: [QueuedFrame; 2],
    waiting: &mut mpsc::Receiver<QueuedFrame>,
    unacked: &mut UnackedFrames,
) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let mut acks = FramedRead::new(reader, frame_codec());
    let mut sink = FramedWrite::new(writer, frame_codec());
    for frame in first {
        unacked.sent_at.push_back(frame.sent_at);
        sink.feed(frame.bytes).await?;
    }
    let mut ack_deadline = None;
    loop {
        while let Ok(frame) = waiting.try_recv() {
            unacked.sent_at.push_back(frame.sent_at);
            sink.feed(frame.bytes).await?;
        }
        SinkExt::<Bytes>::flush(&mut sink).await?;
        ack_deadline.get_or_insert_with(|| Instant::now() + ACK_TIMEOUT);
        loop {
            tokio::select! {
                frame = waiting.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    unacked.sent_at.push_back(frame.sent_at);
                    sink.feed(frame.bytes).await?;
                    break;
                }
                ack = acks.next() => {
                    let Some(ack) = ack else { return Err(io::ErrorKind::ConnectionReset.into()) };
                    unacked.acknowledge(decode_ack(&ack?)?);
                    let is_all = unacked.sent_at.is_empty();
                    ack_deadline = (!is_all).then(|| Instant::now() + ACK_TIMEOUT);
                }
                () = sleep_until(ack_deadline) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

/// Number of frames that the other process has received over a connection.
fn decode_ack(ack: &[u8]) -> io::Result<u64> {
    let bytes = ack.try_into().map_err(|_| io::ErrorKind::InvalidData)?;
    Ok(u64::from_be_bytes(bytes))
}

/// Sleeps until a time; forever without one.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Reads the frames of a connection whose peer is known, and acknowledges them.
pub(crate) async fn read_frames(
    connection: KnownConnection,
    link: PeerLink,
    inbox: mpsc::UnboundedSender<PeerInput>,
) {
    let KnownConnection { peer, mut frames, writer, first_message } = connection;
    let mut acks = FramedWrite::new(writer, frame_codec());
    let mut n_received: u64 = 1;
    let mut ack_at = Some(Instant::now() + ACK_DELAY);
    if let Some(message) = first_message
        && inbox.send(PeerInput::Message(peer.clone(), message)).is_err()
    {
        return;
    }
    loop {
        let next = tokio::select! {
            next = frames.next() => next,
            () = sleep_until(ack_at) => {
                ack_at = None;
                let ack = Bytes::copy_from_slice(&n_received.to_be_bytes());
                if acks.send(ack).await.is_err() {
                    break;
                }
                continue;
            }
        };
        let Some(Ok(sealed)) = next else { break };
        n_received += 1;
        ack_at.get_or_insert_with(|| Instant::now() + ACK_DELAY);
        let Some((from, message)) = link.open(&sealed) else { continue };
        if inbox.send(PeerInput::Message(from, message)).is_err() {
            return;
        }
    }
    // A closed channel means that the process is ending.
    let _ = inbox.send(PeerInput::ConnectionLost(peer));
}

/// Sets socket options that detect a dead connection and send small frames without delay.
pub(crate) fn prepare_stream(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = set {
        // Frames are still sent; a dead connection is only detected later.
        debug!("could not set socket options: {error}");
    }
}

async fn receive_datagrams(link: PeerLink, inbox: mpsc::UnboundedSender<PeerInput>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here is from an earlier send to a closed port.
        let Ok((n_bytes, _)) = link.socket.recv_from(&mut buffer).await else { continue };
        let Some((from, datagram)) = link.open(&buffer[..n_bytes]) else { continue };
        if inbox.send(PeerInput::Datagram(from, datagram)).is_err() {
            return;
        }
    }
}
