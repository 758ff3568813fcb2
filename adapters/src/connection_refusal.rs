//! Answers to connections for which a listener has no room.

use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    time,
};
use yuccamux::prelude::ErrorKind;

use crate::http_server;

/// Connections that are refused at once; further ones are closed without an answer.
const MAX_REFUSALS: usize = 8;
/// Time for a refusal, until the client has closed its connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a request that are read and dropped: with unread ones, closing the connection
/// would reset it, and the client could lose the answer.
const MAX_DROPPED_BYTES: u64 = 64 << 10;

/// Refuses the connections of a listener.
#[derive(Debug)]
pub(crate) struct RefusalSender {
    answer: Arc<str>,
    permits: Arc<Semaphore>,
}

impl RefusalSender {
    pub(crate) fn new() -> RefusalSender {
        let permits = Arc::new(Semaphore::new(MAX_REFUSALS));
        RefusalSender { answer: refusal_text().into(), permits }
    }

    /// Answers that nothing has run and when to come again, whatever the request is.
    pub(crate) fn refuse(&self, mut stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { return };
        let answer = Arc::clone(&self.answer);
        tokio::spawn(async move {
            let answered = async {
                stream.write_all(answer.as_bytes()).await?;
                stream.shutdown().await?;
                let mut request = stream.take(MAX_DROPPED_BYTES);
                tokio::io::copy(&mut request, &mut tokio::io::sink()).await
            };
            // The client is gone, or does not read.
            let _ = time::timeout(REFUSAL_TIMEOUT, answered).await;
            drop(permit);
        });
    }
}

fn refusal_text() -> String {
    let mut headers = HeaderMap::new();
    http_server::set_error_headers(&mut headers, ErrorKind::Overloaded);
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap_or_default()))
        .collect();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    format!("HTTP/1.1 {status}\r\n{lines}content-length: 0\r\nconnection: close\r\n\r\n")
}
