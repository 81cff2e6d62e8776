//! Sets of members of groups of any size.

use celerycrank_groups::{MemberIndex, MemberSet};

/// Sizes around the words of which a set consists.
const SIZES: [usize; 10] = [0, 1, 63, 64, 65, 96, 128, 129, 256, 1_000];

fn members(set: &MemberSet) -> Vec<u16> {
    set.iter().map(|member| member.0).collect()
}

#[test]
fn a_set_holds_the_first_members_of_a_group_of_any_size() {
    for size in SIZES {
        let set = MemberSet::first_n(size);
        let expected = (0..u16::try_from(size).unwrap()).collect::<Vec<_>>();
        assert_eq!(members(&set), expected, "size {size}");
        assert_eq!(set.len(), size);
        assert_eq!(set.is_empty(), size == 0);
    }
}

#[test]
fn sets_are_equal_however_their_members_were_added_and_removed() {
    for size in SIZES {
        let all = MemberSet::first_n(size);
        let mut added = MemberSet::default();
        for member in all.iter() {
            added.insert(member);
        }
        assert_eq!(added, all, "size {size}");
        let far = MemberSet::only(MemberIndex(2_000));
        assert_eq!(all.union(&far).difference(&far), all, "size {size}");
        assert_eq!(all.union(&far).intersection(&all), all, "size {size}");
        assert!(all.difference(&all).is_empty());
        assert!(!all.contains(MemberIndex(2_000)));
    }
}

#[test]
fn a_decoded_set_is_equal_to_the_one_that_was_encoded() {
    for size in SIZES {
        let set = MemberSet::first_n(size);
        let bytes = postcard::to_stdvec(&set).unwrap();
        assert_eq!(postcard::from_bytes::<MemberSet>(&bytes).unwrap(), set);
    }
    // An encoder of another kind may add empty words.
    let padded = postcard::to_stdvec(&vec![1_u64, 0, 0]).unwrap();
    let set = postcard::from_bytes::<MemberSet>(&padded).unwrap();
    assert_eq!(set, MemberSet::only(MemberIndex(0)));
}
