//! What the kernel hands to each plug-in in place of globals.

use std::any::{Any, TypeId, type_name};
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use apricothall_types::{Incarnation, Role};

use crate::telemetry::Telemetry;
use crate::{Clock, Lifecycle, Settings, StartError};

type Parts = HashMap<TypeId, Arc<dyn Any + Send + Sync>>;

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
    parts: Arc<RwLock<Parts>>,
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
            parts: Arc::default(),
        }
    }

    /// Offers `part` to the plug-ins of later stages.
    pub fn provide<T: Send + Sync + 'static>(&self, part: Arc<T>) {
        let mut parts = self
            .parts
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        parts.insert(TypeId::of::<T>(), part);
    }

    /// The part of type `T` that a plug-in of an earlier stage offers.
    ///
    /// # Errors
    /// When no plug-in has offered one.
    pub fn part<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, StartError> {
        let parts = self
            .parts
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let part = parts.get(&TypeId::of::<T>()).cloned();
        let typed = part.and_then(|part| part.downcast::<T>().ok());
        typed.ok_or(StartError::MissingPart {
            part: type_name::<T>(),
        })
    }
}
