//! A minimal HTTP/1.1 client and server for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request as the server stand-ins see it.
pub struct Request {
    pub path: String,
    pub head: String,
    pub body: String,
}

impl Request {
    /// A header's value; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_in(&self.head, name)
    }
}

fn header_in<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads one message: its head, and a body of the length that the head gives.
fn read_message(stream: &mut TcpStream) -> io::Result<Option<(String, String)>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        let n_read = stream.read(&mut buffer)?;
        if n_read == 0 {
            return if bytes.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        bytes.extend_from_slice(&buffer[..n_read]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header_in(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = bytes[end..].to_vec();
    while body.len() < length {
        let n_read = stream.read(&mut buffer)?;
        if n_read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..n_read]);
    }
    Ok(Some((head, String::from_utf8_lossy(&body).into_owned())))
}

/// Sends a request over a new connection; returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    time_limit: Duration,
) -> io::Result<(u16, String)> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, time_limit)?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.set_write_timeout(Some(time_limit))?;
    stream.write_all(text.as_bytes())?;
    let left = time_limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let (head, body) = read_message(&mut stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, body))
}

/// A server that can be ended, as by the crash of its process.
#[derive(Clone)]
pub struct Server {
    address: SocketAddr,
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Arc<Mutex<Option<thread::JoinHandle<()>>>>,
}

impl Server {
    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().expect("no user panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        if let Some(thread) = self.accepting.lock().expect("no user panics").take() {
            let _ = thread.join();
        }
    }
}

/// Serves keep-alive connections, each on a thread of its own. At most `max_conns` are open;
/// further ones wait to be accepted.
pub fn serve(
    listener: TcpListener,
    max_conns: usize,
    handle: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) -> Server {
    let handle = Arc::new(handle);
    let n_open = Arc::new(AtomicUsize::new(0));
    let server = Server {
        address: listener.local_addr().expect("a bound listener"),
        is_up: Arc::new(AtomicBool::new(true)),
        streams: Arc::default(),
        accepting: Arc::default(),
    };
    let accepting = server.clone();
    let thread = thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !accepting.is_up.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                accepting.streams.lock().expect("no user panics").push(copy);
            }
            n_open.fetch_add(1, Ordering::SeqCst);
            let (handle, n_served) = (Arc::clone(&handle), Arc::clone(&n_open));
            let serving = accepting.clone();
            thread::spawn(move || {
                let peer = stream.peer_addr().ok();
                serve_connection(stream, handle.as_ref());
                let mut streams = serving.streams.lock().expect("no user panics");
                streams.retain(|it| it.peer_addr().is_ok_and(|it| Some(it) != peer));
                n_served.fetch_sub(1, Ordering::SeqCst);
            });
            while max_conns <= n_open.load(Ordering::SeqCst)
                && accepting.is_up.load(Ordering::SeqCst)
            {
                thread::sleep(Duration::from_millis(1));
            }
        }
    });
    *server.accepting.lock().expect("no user panics") = Some(thread);
    server
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(&Request) -> (u16, String)) {
    let _ = stream.set_nodelay(true);
    while let Ok(Some((head, body))) = read_message(&mut stream) {
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        let (status, text) = handle(&Request { path, head, body });
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The text of a JSON field of a flat body.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// The whole number in a JSON field of a flat body.
pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
