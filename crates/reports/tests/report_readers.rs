//! Guards against a reader that is missing from the registry or registered twice.

use bronzelb_kernel::plugin::ReportReader;
use bronzelb_reports as _;

#[test]
fn readers_have_unique_names() {
    let mut names: Vec<_> = ReportReader::all().map(|reader| reader.name).collect();
    names.sort_unstable();
    assert_eq!(names, ["json-load", "plain-status"]);
}
