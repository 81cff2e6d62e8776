//! Versions of new maps, chosen so that two different maps never share one.

use crate::MapVersion;

/// The number of version pairs that an invalidating map skips above the highest version.
const INVALIDATING_GAP: u64 = 50;

/// The purpose of a new map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MapPurpose {
    /// The map is to become active; its version is even.
    Use {
        /// The number of version pairs to skip.
        gap: u64,
    },
    /// The map has the content of the active map and invalidates the maps prepared before; no
    /// rank is ever armed for it. Its version is odd.
    Invalidate,
}

/// Returns a version above the highest one for a new map.
///
/// Ranks distinguish maps by their versions alone. A new incarnation of the leader may not know
/// every version that its previous incarnation had ranks load, so maps to be used and
/// invalidating maps never share a version.
pub(crate) const fn version_above(highest: MapVersion, purpose: MapPurpose) -> MapVersion {
    let next_pair = highest.0 / 2 + 1;
    match purpose {
        MapPurpose::Use { gap } => MapVersion((next_pair + gap) * 2),
        MapPurpose::Invalidate => MapVersion((next_pair + INVALIDATING_GAP) * 2 + 1),
    }
}
