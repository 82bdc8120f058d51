//! Shared handles that the kernel passes to each plug-in instead of globals.

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
    /// Validated settings.
    pub settings: Arc<Settings>,
    /// Role of this daemon.
    pub role: Role,
    /// Identifies this start of the daemon.
    pub incarnation: Incarnation,
    /// Clock of the VM.
    pub clock: Clock,
    /// Lifecycle of the daemon.
    pub lifecycle: Lifecycle,
    /// Metrics recorded so far.
    pub telemetry: Telemetry,
    components: Arc<RwLock<Components>>,
}

impl Context {
    /// Creates a context without components.
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

    /// Registers `component` for the plug-ins of later stages.
    pub fn provide<T: Send + Sync + 'static>(&self, component: Arc<T>) {
        let mut components = self
            .components
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        components.insert(TypeId::of::<T>(), component);
    }

    /// Returns the component of type `T` that a plug-in of an earlier stage has registered.
    ///
    /// # Errors
    /// When no plug-in has registered one.
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
