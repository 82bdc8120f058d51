//! Claims by which a call that carries only a key finds a single home.
