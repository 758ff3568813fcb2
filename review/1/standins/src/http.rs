//! HTTP/1.1 over loopback: one call, and a server with a thread for each connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request as a server reads it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, it)| it.as_str())
    }
}

/// How a call ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    NoConnection,
    /// The connection ended before a whole answer.
    Broken,
    /// There was no whole answer within the time.
    TimedOut,
}

/// Sends a request on a connection of its own; returns the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String), CallError> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).map_err(|_| CallError::NoConnection)?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).map_err(|_| CallError::Broken)?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(answer) = whole_answer(&bytes) {
            return Ok(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(CallError::TimedOut);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) => return Err(CallError::Broken),
            Ok(n_read) => bytes.extend(&chunk[..n_read]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err(CallError::Broken),
        }
    }
}

fn whole_answer(bytes: &[u8]) -> Option<(u16, String)> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|it| {
        let (name, value) = it.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let body = bytes.get(end + 4..end + 4 + length.unwrap_or(0))?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}

/// Answers a request, or closes the connection with none.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// Serves an address until the process ends.
pub fn serve(at: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { return };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n\
             {body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let _method = words.next()?;
    let path = words.next()?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut request = Request { path, headers, body: String::new() };
    let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}
