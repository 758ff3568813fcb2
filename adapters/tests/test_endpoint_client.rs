//! The report on a task for every moment at which an endpoint's connection can close.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use yuccamux::job_run::TaskReport;
use yuccamux_adapters::endpoint_client::EndpointClient;

/// What the fake endpoint does with a connection; they apply to connections in order.
#[derive(Clone, Copy)]
enum ConnectionScript {
    /// Closes it before reading.
    CloseAtOnce,
    /// Closes it after the first bytes of the request.
    CloseWhileReading,
    /// Closes it after the whole request.
    CloseAfterReading,
    /// Answers with a status, a header and a body, and keeps it open.
    Answer(&'static str),
    /// Answers once, then closes the idle connection.
    AnswerThenClose,
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
const REFUSED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nyuccamux-ran: not_run\r\ncontent-length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{";

async fn serve(scripts: Vec<ConnectionScript>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        for script in scripts {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = vec![0; 65_536];
            match script {
                ConnectionScript::CloseAtOnce => drop(stream),
                ConnectionScript::CloseWhileReading => {
                    let _ = stream.read(&mut buffer[..10]).await;
                }
                ConnectionScript::CloseAfterReading => {
                    let _ = stream.read(&mut buffer).await;
                }
                ConnectionScript::Answer(text) => {
                    let _ = stream.read(&mut buffer).await;
                    stream.write_all(text.as_bytes()).await.unwrap();
                    if text == CUT {
                        continue;
                    }
                    tokio::spawn(async move {
                        while stream.read(&mut buffer).await.is_ok_and(|it| 0 < it) {
                            if stream.write_all(text.as_bytes()).await.is_err() {
                                return;
                            }
                        }
                    });
                }
                ConnectionScript::AnswerThenClose => {
                    let _ = stream.read(&mut buffer).await;
                    stream.write_all(OK.as_bytes()).await.unwrap();
                }
            }
        }
    });
    address
}

fn request(address: &str) -> Request<Full<Bytes>> {
    let request = Request::post("/tasks/1").header("host", address);
    request.body(Full::new(Bytes::from_static(b"{\"a\":1}"))).unwrap()
}

async fn run(client: &EndpointClient, address: &str) -> TaskReport {
    client.run_task(address, request(address), Duration::from_secs(30)).await
}

async fn check(script: ConnectionScript) -> TaskReport {
    let address = serve(vec![script]).await;
    run(&EndpointClient::new(), &address).await
}

#[tokio::test]
async fn responses_map_to_reports() {
    assert_eq!(
        check(ConnectionScript::Answer(OK)).await,
        TaskReport::Done(Bytes::from_static(b"{}"))
    );
    assert_eq!(check(ConnectionScript::Answer(REFUSED)).await, TaskReport::Refused);
    assert!(matches!(check(ConnectionScript::Answer(BUSY)).await, TaskReport::Failed(_)));
    assert!(matches!(check(ConnectionScript::Answer(CUT)).await, TaskReport::Lost(_)));
}

#[tokio::test]
async fn refused_connection_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let report = run(&EndpointClient::new(), &address).await;
    assert!(matches!(report, TaskReport::NotWritten(_)), "{report:?}");
}

#[tokio::test]
async fn close_while_or_after_the_request_is_lost() {
    for script in [ConnectionScript::CloseWhileReading, ConnectionScript::CloseAfterReading] {
        let report = check(script).await;
        assert!(matches!(report, TaskReport::Lost(_)), "{report:?}");
    }
}

#[tokio::test]
async fn close_before_the_request_is_lost_or_not_written() {
    // The write races with the close, so both reports are correct.
    let report = check(ConnectionScript::CloseAtOnce).await;
    assert!(matches!(report, TaskReport::Lost(_) | TaskReport::NotWritten(_)), "{report:?}");
}

#[tokio::test]
async fn closed_idle_connection_is_replaced() {
    let address =
        serve(vec![ConnectionScript::AnswerThenClose, ConnectionScript::Answer(OK)]).await;
    let client = EndpointClient::new();
    assert!(matches!(run(&client, &address).await, TaskReport::Done(_)));
    // Wait for the close to arrive, or the next request is lost on the old connection.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(matches!(run(&client, &address).await, TaskReport::Done(_)));
}
