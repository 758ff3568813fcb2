//! Bytes that wait unread in the receive buffers of connections.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use yuccamux_adapters::{connection_guard::GuardSettings, process_setup};

/// The smallest entry VM: a third of 120 MB, and half of 3,075 descriptors.
const BUDGET_BYTES: usize = 40 << 20;
const MAX_CONNECTIONS: usize = 1_537;
/// Bytes that are read before the reader stops.
const N_READ_BYTES: usize = 16 << 20;
/// Time for which the client goes on sending then.
const SEND_TIME: Duration = Duration::from_millis(300);

/// Guards against a buffer that the system enlarges while a client is read fast, and that then
/// fills up when its connection is not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn receive_buffer_stays_small() {
    let settings = GuardSettings::new(BUDGET_BYTES, MAX_CONNECTIONS);
    let listener = process_setup::bind_http("127.0.0.1:0".parse().unwrap(), &settings).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    tokio::spawn(async move {
        let bytes = vec![b'x'; 1 << 20];
        while client.write_all(&bytes).await.is_ok() {}
    });
    let mut buffer = vec![0; 1 << 20];
    let mut n_read = 0;
    while n_read < N_READ_BYTES {
        n_read += stream.read(&mut buffer).await.unwrap();
    }
    time::sleep(SEND_TIME).await;
    let mut unread = vec![0; 64 << 20];
    let n_unread = stream.peek(&mut unread).await.unwrap();
    println!("{n_unread} bytes unread");
    assert!(n_unread <= 2 * settings.receive_buffer_bytes(), "{n_unread} bytes");
    let all_unread = n_unread * (settings.max_connections + process_setup::ACCEPT_BACKLOG);
    assert!(all_unread <= BUDGET_BYTES / 4 * 3, "{all_unread} bytes");
}
