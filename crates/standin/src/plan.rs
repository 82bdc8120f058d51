//! What a fleet for a test consists of.

use std::path::PathBuf;

use apricothall_types::{Rate, Region, Role, Zone};
use smol_str::SmolStr;
use toml::Table;

use crate::StandinError;
use crate::engine::EngineSettings;
use crate::network::LinkShaping;
use crate::settings::merge;

/// One VM of a fleet.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// Its id.
    pub id: SmolStr,
    /// Role of its daemon.
    pub role: Role,
    /// Its region.
    pub region: Region,
    /// Its zone.
    pub zone: Zone,
    /// Its engines.
    pub engines: Vec<EngineSettings>,
    /// Catalogue entries of its plain services.
    pub services: Vec<SmolStr>,
    /// Further settings of its daemon.
    pub extra: Table,
}

/// A fleet with the systems around it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The daemon's binary.
    pub binary: PathBuf,
    /// Region and zone of the platform's services.
    pub home: (Region, Zone),
    /// The VMs.
    pub vms: Vec<VmPlan>,
    /// The network.
    pub shape: LinkShaping,
    /// Rate of the weight store over all connections.
    pub store: Option<Rate>,
    /// Rate of the origin over all connections.
    pub origin: Option<Rate>,
    /// Text of the catalogue, when one is published before the daemons start.
    pub catalogue: Option<String>,
    /// Further settings of all daemons.
    pub extra: Table,
    /// Seed of the network's jitter.
    pub seed: u64,
}

impl Plan {
    /// A fleet without VMs; the platform's services are in `region` and `zone`.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn new(binary: impl Into<PathBuf>, region: &str, zone: &str) -> Result<Self, StandinError> {
        Ok(Self {
            binary: binary.into(),
            home: (region.parse()?, zone.parse()?),
            vms: Vec::new(),
            shape: LinkShaping::default(),
            store: None,
            origin: None,
            catalogue: None,
            extra: Table::new(),
            seed: 0,
        })
    }

    /// Adds an entry VM.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn entry(mut self, id: &str, region: &str, zone: &str) -> Result<Self, StandinError> {
        self.vms.push(VmPlan::entry(id, region, zone)?);
        Ok(self)
    }

    /// Adds a backend server VM with one engine.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn engine(
        mut self,
        id: &str,
        region: &str,
        zone: &str,
        engine: EngineSettings,
    ) -> Result<Self, StandinError> {
        self.vms.push(VmPlan::engine(id, region, zone, engine)?);
        Ok(self)
    }

    /// Adds a backend server VM with one plain service for the catalogue entry `name`.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn service(
        mut self,
        id: &str,
        region: &str,
        zone: &str,
        name: &str,
    ) -> Result<Self, StandinError> {
        self.vms.push(VmPlan::service(id, region, zone, name)?);
        Ok(self)
    }

    /// Adds settings of all daemons, as TOML.
    ///
    /// # Errors
    /// When the text is no TOML.
    pub fn with_settings(mut self, text: &str) -> Result<Self, StandinError> {
        merge(&mut self.extra, &text.parse()?);
        Ok(self)
    }

    /// Publishes `text` as the catalogue before the daemons start.
    #[must_use]
    pub fn with_catalogue(mut self, text: impl Into<String>) -> Self {
        self.catalogue = Some(text.into());
        self
    }
}

impl VmPlan {
    /// An entry VM.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn entry(id: &str, region: &str, zone: &str) -> Result<Self, StandinError> {
        Self::new(id, Role::Entry, region, zone)
    }

    /// A backend server VM with one engine.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn engine(
        id: &str,
        region: &str,
        zone: &str,
        engine: EngineSettings,
    ) -> Result<Self, StandinError> {
        let mut vm = Self::new(id, Role::Agent, region, zone)?;
        vm.engines.push(engine);
        Ok(vm)
    }

    /// A backend server VM with one plain service for the catalogue entry `name`.
    ///
    /// # Errors
    /// When a name is not permitted.
    pub fn service(id: &str, region: &str, zone: &str, name: &str) -> Result<Self, StandinError> {
        let mut vm = Self::new(id, Role::Agent, region, zone)?;
        vm.services.push(SmolStr::new(name));
        Ok(vm)
    }

    fn new(id: &str, role: Role, region: &str, zone: &str) -> Result<Self, StandinError> {
        Ok(Self {
            id: SmolStr::new(id),
            role,
            region: region.parse()?,
            zone: zone.parse()?,
            engines: Vec::new(),
            services: Vec::new(),
            extra: Table::new(),
        })
    }
}
