//! The limits of the HTTP server on connections, and requests that arrive in any pieces.

use std::{net::SocketAddr, ops::Range, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{self, Instant},
};
use yuccamux_adapters::{
    connection_guard::{CONNECTION_BYTES, ConnectionGuard, GuardEvent, GuardSettings},
    http_server::{
        self, CloseConnection, HttpAnswer, HttpRequest, ServerLimits, error_answer, text_answer,
    },
};

/// The smallest entry VM: a third of 120 MB, and half of 3,075 descriptors.
const BUDGET_BYTES: usize = 40 << 20;
const MAX_CONNECTIONS: usize = 1_537;
/// Bytes of a body of which two, and no third, fit into three quarters of a budget of 1 MiB.
const HELD_BYTES: usize = 340 << 10;
/// Time in which a server does what it is asked; not a bound that is tested.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

struct Server {
    address: SocketAddr,
    guard: ConnectionGuard,
    stop: watch::Sender<bool>,
}

/// Serves bodies back to their callers, after a delay.
async fn serve(settings: GuardSettings, limits: ServerLimits, delay: Duration) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let guard = ConnectionGuard::new(settings);
    let (stop, stopped) = watch::channel(false);
    let handle = move |request: HttpRequest| async move {
        Ok::<_, CloseConnection>(echo(request, &limits, delay).await)
    };
    tokio::spawn(http_server::serve_guarded(listener, limits, guard.clone(), stopped, handle));
    Server { address, guard, stop }
}

async fn echo(request: HttpRequest, limits: &ServerLimits, delay: Duration) -> HttpAnswer {
    match http_server::read_body(request.into_body(), limits).await {
        Ok(body) => {
            time::sleep(delay).await;
            text_answer(hyper::StatusCode::OK, body)
        }
        Err(error) => error_answer(&error),
    }
}

fn roomy() -> GuardSettings {
    GuardSettings::new(BUDGET_BYTES, MAX_CONNECTIONS)
}

fn post(body: &[u8]) -> Vec<u8> {
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Reads until the connection has given so many bytes that end the answer, or has ended.
async fn read_answer(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while !answer.ends_with(end) {
        match time::timeout(STATE_TIMEOUT, stream.read(&mut buffer)).await.expect("an answer") {
            Ok(0) | Err(_) => break,
            Ok(n_read) => answer.extend_from_slice(&buffer[..n_read]),
        }
    }
    answer
}

/// Waits until nothing is reserved but what open connections are charged with.
async fn wait_for_release(server: &Server) {
    let started_at = Instant::now();
    while 0 < server.guard.budget().counts().used {
        assert!(started_at.elapsed() < STATE_TIMEOUT, "{:?}", server.guard.budget().counts());
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a time limit on heads that also ends idle connections, as those that a load
/// balancer keeps.
#[tokio::test]
async fn idle_connection_outlives_the_limit_on_heads() {
    let limits =
        ServerLimits { header_timeout: Duration::from_millis(100), ..ServerLimits::default() };
    let server = serve(roomy(), limits, Duration::ZERO).await;
    let mut idle = TcpStream::connect(server.address).await.unwrap();
    for _ in 0..3 {
        time::sleep(Duration::from_millis(500)).await;
        idle.write_all(&post(b"body")).await.unwrap();
        assert!(read_answer(&mut idle, b"body").await.starts_with(b"HTTP/1.1 200"));
    }
    let mut slow = TcpStream::connect(server.address).await.unwrap();
    slow.write_all(b"POST / HT").await.unwrap();
    assert_eq!(read_answer(&mut slow, b"nothing").await, b"");
    assert_eq!(server.guard.n_events(GuardEvent::SlowHead), 1);
    assert_eq!(server.guard.n_events(GuardEvent::IdleClosed), 0);
}

/// Guards against connections that are never closed, though no request comes.
#[tokio::test]
async fn idle_connection_is_closed_after_its_limit() {
    let limits =
        ServerLimits { idle_timeout: Duration::from_millis(300), ..ServerLimits::default() };
    let server = serve(roomy(), limits, Duration::ZERO).await;
    let mut idle = TcpStream::connect(server.address).await.unwrap();
    assert_eq!(read_answer(&mut idle, b"nothing").await, b"");
    assert_eq!(server.guard.n_events(GuardEvent::IdleClosed), 1);
    wait_for_release(&server).await;
}

/// Guards against limits that ordinary callers reach on the smallest entry VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn some_hundred_callers_are_served_at_once() {
    let server = serve(roomy(), ServerLimits::default(), Duration::from_secs(1)).await;
    let mut callers = JoinSet::new();
    for _ in 0..600 {
        let address = server.address;
        callers.spawn(async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&post(&[b'x'; 8_000])).await.unwrap();
            read_answer(&mut stream, b"xxxxxxxx").await
        });
    }
    while let Some(answer) = callers.join_next().await {
        assert!(answer.unwrap().starts_with(b"HTTP/1.1 200"));
    }
    for event in [GuardEvent::ConnectionRefused, GuardEvent::BudgetShort, GuardEvent::SlowBody] {
        assert_eq!(server.guard.n_events(event), 0, "{event:?}");
    }
    wait_for_release(&server).await;
}

/// Guards against a refusal that does not say that nothing has run, or when to come again.
#[tokio::test]
async fn body_without_room_is_refused_with_retry_after() {
    let settings = GuardSettings { budget_bytes: 1 << 20, max_connections: 100 };
    let server = serve(settings, ServerLimits::default(), Duration::ZERO).await;
    // Two bodies that stop short of their end hold what large bodies may use.
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        let bytes = post(&vec![b'x'; HELD_BYTES]);
        stream.write_all(&bytes[..bytes.len() - 1]).await.unwrap();
        open.push(stream);
    }
    let started_at = Instant::now();
    while server.guard.budget().counts().used < 2 * (HELD_BYTES + CONNECTION_BYTES) {
        assert!(started_at.elapsed() < STATE_TIMEOUT, "{:?}", server.guard.budget().counts());
        time::sleep(Duration::from_millis(5)).await;
    }
    let mut third = TcpStream::connect(server.address).await.unwrap();
    third.write_all(&post(&vec![b'x'; HELD_BYTES])).await.unwrap();
    // Either the newcomer is refused, or the newest body that stalls.
    let mut refused = String::new();
    for stream in open.iter_mut().rev() {
        if let Ok(answer) = time::timeout(Duration::from_secs(2), read_answer(stream, b"}}")).await
        {
            refused = String::from_utf8_lossy(&answer).into_owned();
            break;
        }
    }
    if refused.is_empty() {
        refused = String::from_utf8_lossy(&read_answer(&mut third, b"}}").await).into_owned();
    }
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("retry-after: 1") && refused.contains("not_run"), "{refused}");
    let mut small = TcpStream::connect(server.address).await.unwrap();
    small.write_all(&post(b"body")).await.unwrap();
    assert!(read_answer(&mut small, b"body").await.starts_with(b"HTTP/1.1 200"));
}

/// Settings with room for four connections.
fn four_connections() -> GuardSettings {
    GuardSettings { budget_bytes: 1 << 20, max_connections: 4 }
}

/// Guards against clients without a whole request that keep others out, and against a body that is
/// evicted without an answer.
#[tokio::test]
async fn connections_without_a_request_are_evicted() {
    let server = serve(four_connections(), ServerLimits::default(), Duration::ZERO).await;
    let mut short = post(b"body");
    short.pop();
    let mut half_bodies = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        stream.write_all(&short).await.unwrap();
        half_bodies.push(stream);
    }
    // Time until their bodies are waited for.
    time::sleep(Duration::from_millis(100)).await;
    let mut caller = TcpStream::connect(server.address).await.unwrap();
    caller.write_all(&post(b"body")).await.unwrap();
    assert!(read_answer(&mut caller, b"body").await.starts_with(b"HTTP/1.1 200"));
    let refusal = read_answer(&mut half_bodies[0], b"no end but that of the connection").await;
    let refusal = String::from_utf8_lossy(&refusal);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1") && refusal.contains("not_run"), "{refusal}");
    assert_eq!(server.guard.n_events(GuardEvent::Evicted), 1);
}

/// Guards against a request that is cut off while it is served, and against a new connection that is
/// reset without an answer.
#[tokio::test]
async fn served_requests_are_not_evicted() {
    let server = serve(four_connections(), ServerLimits::default(), Duration::from_secs(2)).await;
    let mut callers = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        stream.write_all(&post(b"body")).await.unwrap();
        callers.push(stream);
    }
    // Time until they are served.
    time::sleep(Duration::from_millis(100)).await;
    let mut late = TcpStream::connect(server.address).await.unwrap();
    late.write_all(&post(b"body")).await.unwrap();
    let refusal = read_answer(&mut late, b"no end but that of the connection").await;
    let refusal = String::from_utf8_lossy(&refusal);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1") && refusal.contains("not_run"), "{refusal}");
    for caller in &mut callers {
        assert!(read_answer(caller, b"body").await.starts_with(b"HTTP/1.1 200"));
    }
    assert_eq!(server.guard.n_events(GuardEvent::ConnectionRefused), 1);
    assert_eq!(server.guard.n_events(GuardEvent::Evicted), 0);
}

/// Guards against connections that stay in use until a process closes them, whichever request is
/// on its way just then.
#[tokio::test]
async fn answers_before_a_stop_close_their_connections() {
    let server = serve(roomy(), ServerLimits::default(), Duration::ZERO).await;
    let mut caller = TcpStream::connect(server.address).await.unwrap();
    caller.write_all(&post(b"body")).await.unwrap();
    assert!(read_answer(&mut caller, b"body").await.starts_with(b"HTTP/1.1 200"));
    server.guard.announce_stop();
    caller.write_all(&post(b"body")).await.unwrap();
    let answer = read_answer(&mut caller, b"no end but that of the connection").await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
    // New connections are still served.
    let mut late = TcpStream::connect(server.address).await.unwrap();
    late.write_all(&post(b"body")).await.unwrap();
    assert!(read_answer(&mut late, b"body").await.starts_with(b"HTTP/1.1 200"));
}

/// Guards against clients that were connected, and are reset as they wait to be accepted when the
/// listener is closed.
#[tokio::test]
async fn connections_before_a_stop_are_served() {
    let server = serve(roomy(), ServerLimits::default(), Duration::ZERO).await;
    // Blocking calls, so that the server on this thread cannot accept yet.
    let mut caller = std::net::TcpStream::connect(server.address).unwrap();
    std::io::Write::write_all(&mut caller, &post(b"body")).unwrap();
    server.stop.send_replace(true);
    caller.set_nonblocking(true).unwrap();
    let mut caller = TcpStream::from_std(caller).unwrap();
    assert!(read_answer(&mut caller, b"body").await.starts_with(b"HTTP/1.1 200"));
}

/// A request with a random head and body, and the body.
fn random_request(rng: &mut ChaCha8Rng) -> (Vec<u8>, Vec<u8>) {
    let mut below = |limit: u32| (rng.next_u32() % limit) as usize;
    let body: Vec<u8> = (0..1 + below(120)).map(|_| b'a' + below(26) as u8).collect();
    let mut bytes = b"\r\n".repeat(below(3));
    bytes.extend(b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for idx in 0..below(4) {
        bytes.extend(format!("x-{idx}: {}\r\n", "v".repeat(below(30))).into_bytes());
    }
    if below(2) == 0 {
        bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend(&body);
        return (bytes, body);
    }
    bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
    let mut rest = body.as_slice();
    while !rest.is_empty() {
        let (chunk, tail) = rest.split_at((1 + below(20)).min(rest.len()));
        let extension = if below(4) == 0 { ";a=b" } else { "" };
        bytes.extend(format!("{:x}{extension}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
        rest = tail;
    }
    bytes.extend(if below(4) == 0 { &b"0\r\nx-t: v\r\n\r\n"[..] } else { &b"0\r\n\r\n"[..] });
    (bytes, body)
}

/// Sends a request in two pieces, and in a second connection the first piece only.
async fn check_cut(address: SocketAddr, bytes: Vec<u8>, body: Vec<u8>, cut: usize) {
    let mut cut_off = TcpStream::connect(address).await.unwrap();
    cut_off.write_all(&bytes[..cut]).await.unwrap();
    let mut whole = TcpStream::connect(address).await.unwrap();
    whole.set_nodelay(true).unwrap();
    whole.write_all(&bytes[..cut]).await.unwrap();
    time::sleep(Duration::from_millis(2)).await;
    // Where the cut is at the end of the request, its connection may be closed already.
    let _ = whole.write_all(&bytes[cut..]).await;
    drop(cut_off);
    let answer = read_answer(&mut whole, b"no end but that of the connection").await;
    let text = String::from_utf8_lossy(&answer);
    assert!(
        text.starts_with("HTTP/1.1 200") && answer.ends_with(&body),
        "cut at {cut}: {text}\n{}",
        String::from_utf8_lossy(&bytes)
    );
}

async fn check_seeds(seeds: Range<u64>) {
    let server = serve(roomy(), ServerLimits::default(), Duration::ZERO).await;
    for seed in seeds {
        println!("seed {seed}");
        let (bytes, body) = random_request(&mut ChaCha8Rng::seed_from_u64(seed));
        let mut cuts = JoinSet::new();
        for cut in 0..=bytes.len() {
            cuts.spawn(check_cut(server.address, bytes.clone(), body.clone(), cut));
            if 100 <= cuts.len() {
                cuts.join_next().await.unwrap().unwrap();
            }
        }
        while let Some(checked) = cuts.join_next().await {
            checked.unwrap();
        }
    }
    assert_eq!(server.guard.n_events(GuardEvent::ConnectionRefused), 0);
    wait_for_release(&server).await;
}

/// Guards against heads, chunks and bodies that are read wrongly, or leave bytes reserved, where
/// they are cut: each request is cut at every position.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_may_be_cut_anywhere() {
    check_seeds(0..12).await;
}

/// The same with the seeds of `YUCCAMUX_SEEDS`, as `1000..2000`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "long; by hand, with YUCCAMUX_SEEDS"]
async fn requests_may_be_cut_anywhere_long() {
    let text = std::env::var("YUCCAMUX_SEEDS").unwrap_or("1000..1200".to_owned());
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    check_seeds(first.parse().unwrap()..last.parse().unwrap()).await;
}
