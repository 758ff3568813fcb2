//! Tasks for another incarnation of a stand-in.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::{net::TcpListener, sync::watch};
use yuccamux_adapters::{
    connection_pool::ConnectionPool,
    http_server::{self, INCARNATION_HEADER, RAN_HEADER, ServerLimits},
};
use yuccamux_standin::standin_endpoint::{StandinEndpoint, StandinSettings};

/// Guards against tasks that run on an endpoint which has started again since it was chosen, and may
/// serve other kinds.
#[tokio::test]
async fn task_for_a_former_incarnation_is_refused_unstarted() {
    let settings = StandinSettings {
        name: "e".to_owned(),
        slots: 1,
        factor: 1.0,
        run_ms: 1.0,
        spread: 0.0,
        record: None,
    };
    let endpoint = StandinEndpoint::new(settings).unwrap();
    let incarnation = endpoint.incarnation();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_stop_sender, stop) = watch::channel(false);
    let handle = move |request| Arc::clone(&endpoint).handle(request);
    tokio::spawn(http_server::serve(listener, ServerLimits::default(), stop, handle));
    let pool = ConnectionPool::new();
    for (named, status) in [
        (Some((incarnation - 1).to_string()), StatusCode::SERVICE_UNAVAILABLE),
        (Some("one".to_owned()), StatusCode::SERVICE_UNAVAILABLE),
        (Some(incarnation.to_string()), StatusCode::OK),
        (None, StatusCode::OK),
    ] {
        let mut request = Request::post("/tasks/t").header("host", &address);
        if let Some(named) = &named {
            request = request.header(INCARNATION_HEADER, named);
        }
        let request = request.body(Full::new(Bytes::from("{}"))).unwrap();
        let answer = pool.send(&address, request, Duration::from_secs(5)).await.unwrap();
        let ran = http_server::header_text(answer.headers(), RAN_HEADER);
        assert_eq!(
            (answer.status(), ran.is_some()),
            (status, status != StatusCode::OK),
            "{named:?}"
        );
    }
}
