//! A plain service with one server.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, response};
use crate::record::Record;
use crate::store::Store;

/// The configuration: an idempotent route to the service, with a limit on heads in bytes.
pub fn configuration(version: u64, limit: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"status","host":"h.example","prefix":"/status/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":1,"service":"agenda","maxAttempts":2,"public":true}}],"services":[{{"name":"agenda","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":{limit},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// An entry in the store.
pub fn entry(service: &str, address: SocketAddr, born: u128, sequence: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"za","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"born":{born},"sequence":{sequence}}}"#
    )
}

/// Writes the entry of server `i-1` at each heartbeat.
pub fn keep_registered(store: &Store, service: &'static str, address: SocketAddr, born: u128) {
    let store = store.clone();
    store.put("servers/i-1", &entry(service, address, born, 1));
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            store.put("servers/i-1", &entry(service, address, born, sequence));
        }
    });
}

/// Starts a server that answers each request at once.
pub fn start_server(listener: TcpListener, record: &Record) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let id = request.header("attempt-id");
                    record.add(format!("server i-1 runs {id}"));
                    let head = format!("Attempt-Id: {id}\r\nResponse-Seal: s.{id}\r\n");
                    if connection.write(&response("200 OK", &head, b"ok")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
