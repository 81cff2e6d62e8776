//! Maps as agents send them: as weight copies on a map that the receiver holds.

use celerycrank_groups::{
    ExpertIndex, ExpertMap, MapDelta, MapShape, MapVersion, ShapeError, WeightCopy,
};

fn shape(ranks: u16) -> MapShape {
    MapShape {
        layers: 16,
        experts: 2 * ranks,
        ranks,
        slots: 3,
    }
}

/// One more replica in the spare slot of `count` ranks of each layer.
fn copies(shape: MapShape, count: u16) -> Vec<WeightCopy> {
    let layers = 0..shape.layers;
    let copies = layers.flat_map(|layer| {
        (0..count).map(move |rank| WeightCopy {
            layer,
            slot: rank * shape.slots + 2,
            expert: ExpertIndex((rank + 1) % shape.ranks),
        })
    });
    copies.collect()
}

#[test]
fn a_map_is_derived_from_the_map_that_its_delta_names() {
    let initial = ExpertMap::round_robin(shape(96));
    let first = initial.successor(&copies(shape(96), 10));
    let second = first.successor(&copies(shape(96), 20));
    let second = second.with_version(MapVersion(42));
    let delta = MapDelta::between(&first, &second).unwrap();
    assert_eq!(delta.apply(&first), Some(second.clone()));
    assert_eq!(delta.apply(&initial), None, "another base");
    let whole = MapDelta::from_initial(&second).unwrap();
    assert_eq!(whole.apply(&initial), Some(second));
    for delta in [delta, whole] {
        let bytes = postcard::to_stdvec(&delta).unwrap();
        assert_eq!(postcard::from_bytes::<MapDelta>(&bytes).unwrap(), delta);
    }
}

#[test]
fn a_delta_that_does_not_fit_its_base_is_refused() {
    let base = ExpertMap::round_robin(shape(4));
    let next = base.successor(&copies(shape(4), 2));
    let good = MapDelta::between(&base, &next).unwrap();
    let broken = [
        WeightCopy {
            layer: 16,
            ..good.copies[0]
        },
        WeightCopy {
            slot: 12,
            ..good.copies[0]
        },
        WeightCopy {
            expert: ExpertIndex(8),
            ..good.copies[0]
        },
    ];
    for copy in broken {
        let mut delta = good.clone();
        delta.copies.push(copy);
        assert_eq!(delta.apply(&base), None, "{copy:?}");
    }
}

/// A change of 288 weight copies occupies the leader's link of 6 Mbit/s for at most 50 ms, sent to
/// one relay for each square root of the ranks; sent to every rank by the leader, it takes longer
/// the more ranks there are.
#[test]
fn a_change_fits_the_link_of_the_leader() {
    const LINK_BYTES_PER_SECOND: usize = 750_000;
    const PACKET_OVERHEAD: usize = 28;
    const ADDRESS_BYTES: usize = 8;
    let millis = |bytes: usize| bytes * 1_000 / LINK_BYTES_PER_SECOND;
    for ranks in [32, 96, 256] {
        let base = ExpertMap::round_robin(shape(ranks));
        let next = base.successor(&copies(shape(ranks), 18));
        let delta = MapDelta::between(&base, &next).unwrap();
        assert!(delta.copies.len() >= 280);
        let bytes = postcard::to_stdvec(&delta).unwrap().len() + PACKET_OVERHEAD;
        let others = usize::from(ranks - 1);
        let relays = others.isqrt();
        let relayed = relays * bytes + others * ADDRESS_BYTES;
        let whole = postcard::to_stdvec(&next).unwrap().len() + PACKET_OVERHEAD;
        println!(
            "{ranks} ranks: {bytes} bytes; relayed {} ms, direct {} ms, as a whole map {} ms",
            millis(relayed),
            millis(others * bytes),
            millis(others * whole),
        );
        assert!(millis(relayed) <= 50, "{ranks} ranks");
    }
}

#[test]
fn malformed_maps_and_impossible_shapes_are_refused() {
    let map = ExpertMap::round_robin(shape(4));
    let bytes = postcard::to_stdvec(&map).unwrap();
    assert_eq!(postcard::from_bytes::<ExpertMap>(&bytes).unwrap(), map);
    for cut in 0..bytes.len() {
        let error = postcard::from_bytes::<ExpertMap>(&bytes[..cut]).err();
        assert_ne!(error, None, "cut at {cut}");
    }
    // Another number of slots than cells follow.
    let mut other = bytes.clone();
    other[4] = 2;
    assert_ne!(postcard::from_bytes::<ExpertMap>(&other).err(), None);

    let zero = MapShape::default();
    assert_eq!(zero.check(), Err(ShapeError::Empty));
    let few = MapShape {
        slots: 1,
        ..shape(4)
    };
    assert!(matches!(few.check(), Err(ShapeError::TooFewSlots { .. })));
    assert_eq!(shape(256).check(), Ok(shape(256)));
    let large = shape(2_000).check().unwrap_err();
    assert_eq!(large.to_string(), "96000 slots exceed the limit of 20000");
}

/// The largest map, of which every slot has changed, is sent as one datagram.
#[test]
fn the_largest_delta_fits_a_datagram() {
    const DATAGRAM_BYTES: usize = 65_507;
    /// Addresses of 255 agents, and the fields around the delta.
    const RELAY_BYTES: usize = 3_000;
    for (layers, ranks, experts) in [(16, 416, 800), (1, 6_666, 13_000), (60, 37, 72)] {
        let shape = MapShape {
            layers,
            experts,
            ranks,
            slots: 3,
        };
        let initial = ExpertMap::round_robin(shape.check().unwrap());
        let slots = u16::try_from(shape.layer_slots()).unwrap();
        let copies = (0..layers).flat_map(|layer| {
            (0..slots).map(move |slot| WeightCopy {
                layer,
                slot,
                expert: ExpertIndex(experts - 1 - slot % experts),
            })
        });
        let next = initial.successor(&copies.collect::<Vec<_>>());
        let delta = MapDelta::from_initial(&next).unwrap();
        let bytes = postcard::to_stdvec(&delta).unwrap().len();
        assert!(
            bytes + RELAY_BYTES <= DATAGRAM_BYTES,
            "{shape:?}: {bytes} bytes"
        );
    }
}
