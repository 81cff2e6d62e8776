//! Stand-ins for the platform and backend servers, never shipped.
