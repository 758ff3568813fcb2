//! HTTP/1.1 with `Content-Length`, as a server for runners and as a client of the system.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request that a server has read.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// A header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, it)| it.as_str())
    }
}

/// Answers a request with a status and a JSON body; `None` closes the connection.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// A server that can be stopped, as when its process crashes.
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves an address, one thread a connection.
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let server = Server { is_stopped: is_stopped.clone(), streams: streams.clone() };
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve_connection(stream, &handler));
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener is dropped within a turn of its thread.
        thread::sleep(Duration::from_millis(5));
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((line, headers, body)) = read_message(&mut reader) {
        let mut words = line.split(' ').map(str::to_owned);
        let (Some(_), Some(path)) = (words.next(), words.next()) else { return };
        let Some((status, body)) = handler(Request { path, headers, body }) else { return };
        let text = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

/// Reads the first line, the headers with names in lower case, and the body.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(it, _)| it == "content-length");
    let length: usize = length.map_or(Some(0), |(_, it)| it.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((line, headers, body))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(n_bytes) if 0 < n_bytes => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, limit).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream })
    }

    /// Sends a request without waiting for the answer.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        headers: &str,
        body: &str,
    ) -> Option<()> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).ok()
    }

    /// The status and the body of the answer, if it is whole within `limit`.
    pub fn receive(&mut self, limit: Duration) -> Option<(u16, Vec<u8>)> {
        self.stream.set_read_timeout(Some(limit.max(Duration::from_millis(1)))).ok()?;
        let mut reader = BufReader::new(self.stream.try_clone().ok()?);
        let (line, _, body) = read_message(&mut reader)?;
        Some((line.split(' ').nth(1)?.parse().ok()?, body))
    }
}

/// Sends one request over a connection of its own; `None` if no answer came within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let end = Instant::now() + limit;
    let mut connection = Connection::open(address, limit)?;
    connection.send(method, path, host, headers, body)?;
    connection.receive(end.saturating_duration_since(Instant::now()))
}
