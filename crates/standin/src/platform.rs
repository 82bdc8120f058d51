//! The platform's services, reached through fault-injecting proxies.

use std::net::{IpAddr, SocketAddr};

use smol_str::SmolStr;

use crate::StandinError;
use crate::config::ConfigService;
use crate::network::{Host, Network, Port};
use crate::plan::Plan;
use crate::proxy::{Proxy, Target};
use crate::settings::PlatformAddresses;
use crate::vms::VmService;
use crate::weights::WeightStore;

const CONFIGURATION_PORT: u16 = 7_100;
const VMS_PORT: u16 = 7_101;
const STORE_PORT: u16 = 7_102;
const ORIGIN_PORT: u16 = 7_103;
/// Offset from the port of a proxy to the port of the service behind it.
const UPSTREAM_PORT_OFFSET: u16 = 100;

/// The platform's services. Their ids in the network are "configuration", "vms", "store" and
/// "origin".
pub struct Platform {
    /// Configuration service.
    pub config: ConfigService,
    /// List of VMs.
    pub vms: VmService,
    /// Weight store.
    pub store: WeightStore,
    /// Origin of weights.
    pub origin: WeightStore,
    /// Addresses of the proxies, for the daemons' settings.
    pub addresses: PlatformAddresses,
    proxies: Vec<Proxy>,
}

impl Platform {
    /// Starts all four services and their proxies on `ip`.
    pub(crate) async fn start(
        plan: &Plan,
        ip: IpAddr,
        network: &Network,
    ) -> Result<Self, StandinError> {
        let at = |port| SocketAddr::new(ip, port);
        let upstream = |port| SocketAddr::new(ip, port + UPSTREAM_PORT_OFFSET);
        let config = ConfigService::start(upstream(CONFIGURATION_PORT)).await?;
        let vms = VmService::start(upstream(VMS_PORT)).await?;
        let store = WeightStore::start(upstream(STORE_PORT), plan.store).await?;
        let origin = WeightStore::start(upstream(ORIGIN_PORT), plan.origin).await?;
        let mut proxies = Vec::new();
        let ports = [
            ("configuration", CONFIGURATION_PORT),
            ("vms", VMS_PORT),
            ("store", STORE_PORT),
            ("origin", ORIGIN_PORT),
        ];
        for (id, port) in ports {
            let host = Host {
                id: SmolStr::new_static(id),
                region: plan.home.0.clone(),
                zone: plan.home.1.clone(),
                client: false,
            };
            let target = Target {
                listen: at(port),
                upstream: upstream(port),
                host,
                port: Port::Platform,
            };
            proxies.push(Proxy::start(network, target).await?);
        }
        let addresses = PlatformAddresses {
            configuration: at(CONFIGURATION_PORT),
            vms: at(VMS_PORT),
            store: at(STORE_PORT),
            origin: at(ORIGIN_PORT),
        };
        Ok(Self {
            config,
            vms,
            store,
            origin,
            addresses,
            proxies,
        })
    }

    /// Stops all four services and their proxies.
    pub async fn close(self) {
        for proxy in self.proxies {
            proxy.close().await;
        }
        self.config.close().await;
        self.vms.close().await;
        self.store.close().await;
        self.origin.close().await;
    }
}
