//! The daemons accept the settings files that the harness writes.

use std::path::Path;

use apricothall_kernel::settings::Settings;
use apricothall_standin::settings::{DaemonSettings, PlatformAddresses};
use apricothall_types::Role;

fn settings(role: Role) -> DaemonSettings {
    let at = |port: u16| std::net::SocketAddr::new([127, 1, 2, 2].into(), port);
    DaemonSettings {
        id: "vm-1".into(),
        role,
        region: "lima".parse().expect("valid"),
        zone: "lima-a".parse().expect("valid"),
        ip: [127, 1, 2, 3].into(),
        platform: PlatformAddresses {
            configuration: at(7_100),
            vms: at(7_101),
            store: at(7_102),
            origin: at(7_103),
        },
        store: "lima".parse().expect("valid"),
        engines: Vec::new(),
        services: Vec::new(),
        extra: "[log]\nlevel = \"debug\"".parse().expect("valid"),
    }
}

#[test]
fn entry_is_accepted() {
    let text = settings(Role::Entry).render();
    Settings::parse(&text, Path::new("f"), Some(Role::Entry)).expect("settings are accepted");
}

#[test]
fn agent_with_engine_and_service_is_accepted() {
    let mut agent = settings(Role::Agent);
    agent
        .engines
        .push(("127.1.2.3:7200".parse().expect("valid"), 8));
    agent
        .services
        .push(("127.1.2.3:7201".parse().expect("valid"), "booking".into()));
    let text = agent.render();
    let read =
        Settings::parse(&text, Path::new("f"), Some(Role::Agent)).expect("settings are accepted");
    assert_eq!((read.servers.len(), read.log.level.as_str()), (2, "debug"));
}
