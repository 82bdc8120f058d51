//! Which headers of a request are read and forwarded.

use std::time::Duration;

use apricothall_decide::routes::Account;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::Context;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    EXPECT,
];

/// The number in header `name`, if there is one.
pub(super) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The time in ms in header `name`, if there is one. A fraction is dropped, so that nobody is given
/// more time than is left.
pub(super) fn header_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    if let Some(millis) = header_number(headers, name) {
        return Some(Duration::from_millis(millis));
    }
    let millis: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis.floor() / MILLIS_PER_SECOND).ok()
}

/// Headers to forward: those of the caller without hop-by-hop headers and those that only this
/// daemon may set.
pub(super) fn forwarded_headers(
    context: &Context,
    from: &HeaderMap,
    account: Option<&Account>,
) -> HeaderMap {
    let names = &context.dialect.headers;
    let own_headers = [
        &names.deadline,
        &names.account,
        &names.server,
        &names.urgency,
        &names.version,
        &names.key,
        &names.resume,
    ];
    let mut headers = end_to_end(from);
    for name in own_headers {
        headers.remove(name);
    }
    let account = account.and_then(|a| HeaderValue::from_str(&a.name).ok());
    if let Some(value) = account {
        headers.insert(names.account.clone(), value);
    }
    headers
}

/// All headers except hop-by-hop headers.
#[must_use]
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let connection_values = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let connection_headers: Vec<_> = connection_values
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    let mut headers = from.clone();
    for name in HOP_BY_HOP.iter().chain(&connection_headers) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}
