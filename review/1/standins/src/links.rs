//! Loopback proxies: links between processes whose open connections can go silent, and links
//! to runners that lose packets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{cluster::Cluster, traffic::Rng};

/// Connections opened up to the second number are silent for good; the first counts all.
#[derive(Default)]
pub struct Silence {
    opened: AtomicU64,
    silenced: AtomicU64,
}

impl Silence {
    /// Open connections deliver nothing more, without a reset; new ones work.
    pub fn silence_open(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silenced.store(opened, Ordering::SeqCst);
        opened
    }
}

/// Puts a proxy on every link between two processes, which need link ports of their own.
pub fn forward_links(cluster: &Cluster, silence: &Arc<Silence>) {
    for from in &cluster.processes {
        for to in cluster.processes.iter().filter(|it| it.name != from.name) {
            let (near, far) = (to.at(from.link_port), to.at(to.link_port));
            forward_tcp(near, far, silence.clone());
            forward_udp(near, far);
        }
    }
}

fn forward_tcp(near: SocketAddr, far: SocketAddr, silence: Arc<Silence>) {
    let listener = TcpListener::bind(near).expect("a free address for a link");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(onward) = TcpStream::connect(far) else { continue };
            let number = silence.opened.fetch_add(1, Ordering::SeqCst) + 1;
            for (from, to) in [(&stream, &onward), (&onward, &stream)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let silence = silence.clone();
                thread::spawn(move || {
                    pump(from, to, |_| number <= silence.silenced.load(Ordering::SeqCst))
                });
            }
        }
    });
}

/// Forwards bytes until the end; swallows them once `is_silent`.
fn pump(mut from: TcpStream, mut to: TcpStream, mut is_silent: impl FnMut(usize) -> bool) {
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16 << 10];
    while let Ok(n_read) = from.read(&mut chunk) {
        if n_read == 0 {
            break;
        }
        if !is_silent(n_read) && to.write_all(&chunk[..n_read]).is_err() {
            break;
        }
    }
    if !is_silent(0) {
        let _ = (to.shutdown(std::net::Shutdown::Both), from.shutdown(std::net::Shutdown::Both));
    }
}

fn forward_udp(near: SocketAddr, far: SocketAddr) {
    let socket = UdpSocket::bind(near).expect("a free address for a link");
    thread::spawn(move || {
        let mut bytes = [0; 65_536];
        loop {
            if let Ok((n_read, _)) = socket.recv_from(&mut bytes) {
                let _ = socket.send_to(&bytes[..n_read], far);
            }
        }
    });
}

/// Share of packets that links to runners lose, in thousandths, and how many were lost.
#[derive(Default)]
pub struct Loss {
    pub milli: AtomicU64,
    pub n_lost: AtomicU64,
    pub n_sent: AtomicU64,
}

/// One-way delay of a link between zones.
const LINK_DELAY: Duration = Duration::from_micros(500);

/// Forwards to a runner. A lost packet is sent again after the least time of TCP, 200 ms and up
/// to 6 ms for the round trip and the timer; what follows on its connection waits behind it.
pub fn forward_lossy(near: SocketAddr, far: SocketAddr, loss: Arc<Loss>, seed: u64) {
    let listener = TcpListener::bind(near).expect("a free address for a proxy");
    let rng = Arc::new(Mutex::new(Rng::new(seed)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(onward) = TcpStream::connect(far) else { continue };
            for (from, to) in [(&stream, &onward), (&onward, &stream)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let (loss, rng) = (loss.clone(), rng.clone());
                thread::spawn(move || pump_lossy(from, to, &loss, &rng));
            }
        }
    });
}

fn pump_lossy(mut from: TcpStream, mut to: TcpStream, loss: &Loss, rng: &Mutex<Rng>) {
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16 << 10];
    while let Ok(n_read) = from.read(&mut chunk) {
        if n_read == 0 {
            break;
        }
        loss.n_sent.fetch_add(1, Ordering::Relaxed);
        let (draw, extra) = {
            let mut rng = rng.lock().unwrap();
            (rng.below(1_000), rng.below(6_000))
        };
        if draw < loss.milli.load(Ordering::Relaxed) {
            loss.n_lost.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_micros(200_000 + extra));
        }
        thread::sleep(LINK_DELAY);
        if to.write_all(&chunk[..n_read]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(std::net::Shutdown::Both), from.shutdown(std::net::Shutdown::Both));
}
