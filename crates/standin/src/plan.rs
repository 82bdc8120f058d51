//! Description of a fleet and of the platform around it.

use std::path::PathBuf;

use apricothall_types::{Rate, Region, Role, Zone};
use smol_str::SmolStr;
use toml::Table;

use crate::StandinError;
use crate::engine::EngineSettings;
use crate::network::LinkShaping;
use crate::settings::merge;

/// Description of a VM.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// Id of the VM.
    pub id: SmolStr,
    /// Role of its daemon.
    pub role: Role,
    /// Region of the VM.
    pub region: Region,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Engines that run on the VM.
    pub engines: Vec<EngineSettings>,
    /// Names of the catalogue entries of its plain services.
    pub services: Vec<SmolStr>,
    /// Additional settings of the daemon.
    pub extra: Table,
}

/// Description of a fleet and of the platform around it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the daemon's binary.
    pub binary: PathBuf,
    /// Region and zone of the platform's services.
    pub home: (Region, Zone),
    /// The VMs.
    pub vms: Vec<VmPlan>,
    /// Rates and delays of the network.
    pub shape: LinkShaping,
    /// Rate of the weight store, shared by all connections.
    pub store: Option<Rate>,
    /// Rate of the origin, shared by all connections.
    pub origin: Option<Rate>,
    /// Text of a catalogue to publish before the daemons start.
    pub catalogue: Option<String>,
    /// Additional settings of all daemons.
    pub extra: Table,
    /// Seed of the network's jitter.
    pub seed: u64,
}

impl Plan {
    /// Creates a plan without VMs. The platform's services are in `region` and `zone`.
    ///
    /// # Errors
    /// Returns an error if a name is invalid.
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
    /// Returns an error if a name is invalid.
    pub fn entry(mut self, id: &str, region: &str, zone: &str) -> Result<Self, StandinError> {
        self.vms.push(VmPlan::entry(id, region, zone)?);
        Ok(self)
    }

    /// Adds a backend server VM with one engine.
    ///
    /// # Errors
    /// Returns an error if a name is invalid.
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
    /// Returns an error if a name is invalid.
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

    /// Adds settings, in TOML, to all daemons.
    ///
    /// # Errors
    /// Returns an error if the text is not valid TOML.
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
    /// Describes an entry VM.
    ///
    /// # Errors
    /// Returns an error if a name is invalid.
    pub fn entry(id: &str, region: &str, zone: &str) -> Result<Self, StandinError> {
        Self::new(id, Role::Entry, region, zone)
    }

    /// Describes a backend server VM with one engine.
    ///
    /// # Errors
    /// Returns an error if a name is invalid.
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

    /// Describes a backend server VM with one plain service for the catalogue entry `name`.
    ///
    /// # Errors
    /// Returns an error if a name is invalid.
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
