//! HTTP as a caller uses it.

use std::time::Duration;

use anyhow::bail;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, header::HOST};
use yuccamux_adapters::connection_pool::{ConnectionPool, SendError};

use crate::load_args::{GetCommand, PostCommand};

/// Time for a request whose answer comes at once.
const QUICK: Duration = Duration::from_secs(10);

/// Sends a request to an address of loopback.
pub(crate) async fn send(
    pool: &ConnectionPool,
    method: Method,
    address: &str,
    path: &str,
    key: Option<&str>,
    body: Bytes,
    time_limit: Duration,
) -> Result<Response<Bytes>, SendError> {
    let mut request = Request::builder().method(method).uri(path).header(HOST, address);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.header("content-type", "application/json").body(Full::new(body));
    let request = request.map_err(|error| SendError::NotWritten(error.to_string()))?;
    pool.send(address, request, time_limit).await
}

/// Gets a path as text.
pub(crate) async fn get_text(
    pool: &ConnectionPool,
    address: &str,
    path: &str,
) -> anyhow::Result<String> {
    let answer = send(pool, Method::GET, address, path, None, Bytes::new(), QUICK).await?;
    Ok(String::from_utf8_lossy(answer.body()).into_owned())
}

/// Addresses in a list separated by commas.
pub(crate) fn addresses(list: &str) -> anyhow::Result<Vec<String>> {
    let mut addresses = Vec::new();
    for text in list.split(',').map(str::trim).filter(|it| !it.is_empty()) {
        let address: std::net::SocketAddr = text.parse()?;
        if !address.ip().is_loopback() {
            bail!("{address} is not loopback; trials stay on this machine");
        }
        addresses.push(address.to_string());
    }
    Ok(addresses)
}

/// Posts a body and prints the answer.
pub(crate) async fn post(args: &PostCommand) -> anyhow::Result<()> {
    let pool = ConnectionPool::new();
    let body = Bytes::from(args.body.clone());
    let limit = Duration::from_secs(60);
    let key = args.key.as_deref();
    let answer = send(&pool, Method::POST, &args.address, &args.path, key, body, limit).await?;
    println!("{} {}", answer.status().as_u16(), String::from_utf8_lossy(answer.body()));
    Ok(())
}

/// Gets a path and prints the answer.
pub(crate) async fn get(args: &GetCommand) -> anyhow::Result<()> {
    println!("{}", get_text(&ConnectionPool::new(), &args.address, &args.path).await?);
    Ok(())
}
