//! Revisions of rows across the eras of a platform.

use bronzelb_kernel::ids::{RowRevision, StoreEra};

fn revision(era: u64, number: u64) -> RowRevision {
    RowRevision::in_era(StoreEra::new(era), number).expect("is in range")
}

/// Guards against a revision of an ended era that counts as later because its number is higher.
#[test]
fn later_era_is_later_whatever_the_number() {
    assert!(revision(2, 1) > revision(1, u64::from(u32::MAX)));
    assert!(revision(1, 2) > revision(1, 1));
    assert!(RowRevision::new(7) < revision(1, 1));
}

/// Guards against encodings that change the order or the value, and against nodes of earlier builds,
/// which send plain numbers.
#[test]
fn encodings_keep_the_value_and_the_order() {
    let revisions = [(0, 0), (0, 17), (1, 0), (1, 17), (2, 3), (65_535, 1 << 47)];
    let revisions = revisions.map(|(era, number)| revision(era, number));
    let mut packed = Vec::new();
    for revision in revisions {
        let bytes = postcard::to_stdvec(&revision).expect("is written");
        assert_eq!(postcard::from_bytes::<RowRevision>(&bytes), Ok(revision));
        packed.push(postcard::from_bytes::<u64>(&bytes).expect("is a number"));
        let json = serde_json::to_string(&revision).expect("is written");
        assert_eq!(
            serde_json::from_str::<RowRevision>(&json).ok(),
            Some(revision)
        );
        assert_eq!(
            revision.to_string().parse::<RowRevision>().ok(),
            Some(revision)
        );
    }
    assert!(packed.is_sorted());
    assert_eq!(packed[1], 17);
    assert_eq!(
        serde_json::to_string(&revision(0, 17)).ok().as_deref(),
        Some("17")
    );
    assert_eq!(
        serde_json::to_string(&revision(2, 3)).ok().as_deref(),
        Some("\"2.3\"")
    );
}

/// Guards against revisions that wrap around or pass into the next era.
#[test]
fn revisions_out_of_range_are_refused() {
    let largest = (1 << 48) - 1;
    assert!(RowRevision::in_era(StoreEra::new(1), largest + 1).is_err());
    assert!(RowRevision::in_era(StoreEra::new(65_536), 1).is_err());
    assert_eq!(revision(1, largest).next(), revision(1, largest));
    for text in [
        "",
        "x",
        "1.2.3",
        "1.",
        ".1",
        "-1",
        "70000.1",
        "1.281474976710656",
    ] {
        assert!(text.parse::<RowRevision>().is_err(), "{text:?}");
    }
}
