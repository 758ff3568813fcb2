//! Connections to the link port whose peers have not shown yet who they are.
//!
//! The first frame of a connection is a short one, sealed with a link key, that names its sender.
//! Until it has arrived, a connection may hold only a small buffer and use only a short time, and
//! the oldest of these connections is closed where a new one finds too many.

use std::{collections::VecDeque, io, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use log::debug;
use socket2::SockRef;
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::{self, AbortHandle, JoinSet},
    time,
};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use yuccamux::{peer_message::PeerMessage, prelude::VmName};

use crate::{
    peer_limits::PeerEvent,
    peer_link::{self, PeerInput, PeerLink},
};

/// Largest first frame, in bytes.
const MAX_FIRST_FRAME_BYTES: usize = 4 << 10;
/// Capacity of the buffer for the first frame, in bytes; it fits the usual one.
const FIRST_BUFFER_BYTES: usize = 256;
/// Most connections without a first frame.
const MAX_HANDSHAKES: usize = 64;
/// Time until the first frame has arrived.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer of a connection without a first frame, in bytes.
const HANDSHAKE_RECEIVE_BYTES: usize = 8 << 10;
/// Receive buffer of a connection whose peer is known, in bytes.
const LINK_RECEIVE_BYTES: usize = 128 << 10;
/// Body of a first frame that carries no message. Builds without handshakes take it for a message
/// of an unknown kind, which they acknowledge and ignore.
const HELLO_MARK: u32 = u32::MAX;

/// A connection whose peer is known.
pub(crate) struct KnownConnection {
    pub(crate) peer: VmName,
    pub(crate) frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    pub(crate) writer: OwnedWriteHalf,
    /// The message of the first frame; builds without handshakes begin with one.
    pub(crate) first_message: Option<PeerMessage>,
}

/// Bounds what a listener's connections hold before their peers are known.
pub(crate) fn set_receive_buffer(listener: &std::net::TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(HANDSHAKE_RECEIVE_BYTES)
}

/// The first frame of a connection that this process opens.
pub(crate) fn hello_frame(link: &PeerLink) -> Bytes {
    Bytes::from(link.seal(&HELLO_MARK))
}

/// Accepts connections, and reads those whose peers are known.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    link: PeerLink,
    inbox: mpsc::UnboundedSender<PeerInput>,
) {
    let mut handshakes = JoinSet::new();
    let mut oldest_first: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = handshakes.join_next() => {
                if let Ok(Some(known)) = ended {
                    tokio::spawn(peer_link::read_frames(known, link.clone(), inbox.clone()));
                }
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(peer_link::RECONNECT_PAUSE).await;
            continue;
        };
        peer_link::prepare_stream(&stream);
        oldest_first.retain(|it| !it.is_finished());
        if MAX_HANDSHAKES <= oldest_first.len() {
            // Those whose frames have arrived complete their handshakes first, as when many VMs
            // start at once.
            task::yield_now().await;
            oldest_first.retain(|it| !it.is_finished());
        }
        if MAX_HANDSHAKES <= oldest_first.len()
            && let Some(oldest) = oldest_first.pop_front()
        {
            PeerEvent::HandshakeEvicted.record();
            oldest.abort();
        }
        oldest_first.push_back(handshakes.spawn(complete_handshake(stream, link.clone())));
    }
}

/// Reads the first frame; none if the peer sends another one, or none in time.
async fn complete_handshake(stream: TcpStream, link: PeerLink) -> Option<KnownConnection> {
    let (reader, writer) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FIRST_FRAME_BYTES).new_codec();
    let mut frames = FramedRead::with_capacity(reader, codec, FIRST_BUFFER_BYTES);
    let Ok(first) = time::timeout(HANDSHAKE_TIMEOUT, frames.next()).await else {
        PeerEvent::HandshakeTimeout.record();
        return None;
    };
    let opened = first.and_then(Result::ok).and_then(|first| match link.open::<u32>(&first) {
        Some((peer, HELLO_MARK)) => Some((peer, None)),
        _ => link.open(&first).map(|(peer, message)| (peer, Some(message))),
    });
    let Some((peer, first_message)) = opened else {
        PeerEvent::HandshakeRefused.record();
        return None;
    };
    frames.decoder_mut().set_max_frame_length(peer_link::MAX_FRAME_BYTES);
    let stream: &TcpStream = writer.as_ref();
    if let Err(error) = SockRef::from(stream).set_recv_buffer_size(LINK_RECEIVE_BYTES) {
        // Frames still arrive, more slowly where they are large.
        debug!("could not enlarge the receive buffer for {peer}: {error}");
    }
    Some(KnownConnection { peer, frames, writer, first_message })
}
