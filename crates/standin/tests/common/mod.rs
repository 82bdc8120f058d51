//! Helpers shared by the contract tests.

use std::net::SocketAddr;

use apricothall_standin::client::{Answer, Client};
use bytes::Bytes;
use http::{Method, Request};

/// Returns the loopback address with port 0, which selects any free port.
pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

/// Sends a request with headers and reads the complete response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Answer {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.into()).expect("the request is valid");
    Client::default()
        .send(request)
        .await
        .expect("response arrives")
}

/// Requests a path with GET.
pub async fn get(address: SocketAddr, path: &str) -> Answer {
    call(address, Method::GET, path, &[], "").await
}
