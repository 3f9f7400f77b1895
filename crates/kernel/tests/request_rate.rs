//! Rates and limits as servers state them.

use bronzelb_kernel::{clock::TimeBudget, ids::RequestRate, member::StatedLimit};

#[test]
fn rate_is_read_and_written_as_a_decimal_number() {
    for (text, written, micros) in [
        ("13.7", "13.7", 72_992),
        ("16", "16", 62_500),
        ("0.25", "0.25", 4_000_000),
        (".5", "0.5", 2_000_000),
        ("2.", "2", 500_000),
        ("1.23456", "1.234", 810_372),
    ] {
        let rate: RequestRate = text.parse().expect("is a decimal number");
        assert_eq!(rate.to_string(), written);
        assert_eq!(rate.interval(), Some(TimeBudget::from_micros(micros)));
    }
    let zero: RequestRate = "0".parse().expect("is a decimal number");
    assert_eq!(zero.interval(), None);
}

#[test]
fn malformed_rate_states_nothing() {
    let malformed = [
        "",
        ".",
        "-1",
        "+1",
        "1e3",
        "NaN",
        "inf",
        "1.2.3",
        " 1",
        "1/s",
        "99999999999999999999",
        "18446744073709551615",
    ];
    for text in malformed {
        assert!(text.parse::<RequestRate>().is_err(), "{text:?}");
        assert_eq!(
            StatedLimit::from_header(Some(text.as_bytes())),
            StatedLimit::Unknown
        );
    }
    assert_eq!(
        StatedLimit::from_header(Some(b"\xff")),
        StatedLimit::Unknown
    );
    assert_eq!(StatedLimit::from_header(None), StatedLimit::Unlimited);
    let stated = StatedLimit::from_header(Some(b"2.5"));
    assert_eq!(
        stated,
        StatedLimit::Limited(RequestRate::from_millis(2_500))
    );
}
