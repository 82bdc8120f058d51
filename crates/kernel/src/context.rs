//! What the kernel hands to each plug-in in place of globals.

use std::any::{Any, TypeId, type_name};
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use apricothall_types::{Incarnation, Role};

use crate::telemetry::Telemetry;
use crate::{Clock, Lifecycle, Settings, StartError};

type Components = HashMap<TypeId, Arc<dyn Any + Send + Sync>>;

/// Handles shared by the plug-ins of one daemon. Cheap to clone.
#[derive(Clone)]
pub struct Context {
    /// Checked settings.
    pub settings: Arc<Settings>,
    /// Role of this daemon.
    pub role: Role,
    /// Start of this daemon.
    pub incarnation: Incarnation,
    /// Clock of the VM.
    pub clock: Clock,
    /// Phases of the daemon.
    pub lifecycle: Lifecycle,
    /// Metrics recorded so far.
    pub telemetry: Telemetry,
    components: Arc<RwLock<Components>>,
}

impl Context {
    /// A context with no parts yet.
    #[must_use]
    pub fn new(settings: Settings, role: Role, telemetry: Telemetry) -> Self {
        let clock = Clock;
        let lifecycle = Lifecycle::new(settings.drain.clone(), role, clock);
        Self {
            settings: Arc::new(settings),
            role,
            incarnation: clock.incarnation(),
            clock,
            lifecycle,
            telemetry,
            components: Arc::default(),
        }
    }

    /// Offers `part` to the plug-ins of later stages.
    pub fn provide<T: Send + Sync + 'static>(&self, component: Arc<T>) {
        let mut components = self
            .components
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        components.insert(TypeId::of::<T>(), component);
    }

    /// The part of type `T` that a plug-in of an earlier stage offers.
    ///
    /// # Errors
    /// When no plug-in has offered one.
    pub fn component<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, StartError> {
        let components = self
            .components
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let component = components.get(&TypeId::of::<T>()).cloned();
        let typed = component.and_then(|component| component.downcast::<T>().ok());
        typed.ok_or(StartError::MissingComponent {
            component: type_name::<T>(),
        })
    }
}
