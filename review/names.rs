//! The names that the platform uses on the wire, from `names.txt`.

const TABLE: &str = include_str!("names.txt");

/// Returns the platform's name for `what`.
///
/// # Panics
///
/// Panics if the table lacks it.
pub fn name(what: &str) -> &'static str {
    let mut rows = TABLE.lines().filter_map(|it| it.split_once(" = "));
    rows.find(|(key, _)| *key == what).map(|(_, name)| name).expect("the table has the name")
}
