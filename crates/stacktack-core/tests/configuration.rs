//! Configuration documents: validation reports every fault, and changes rebuild a document.

use expect_test::expect;
use stacktack_core::configuration::change::{encode, Change, Difference};
use stacktack_core::configuration::eligibility::{evaluate_eligibility, Target};
use stacktack_core::configuration::validation::{parse, validate};
use stacktack_core::configuration::Configuration;
use stacktack_wire::identity::ConfigurationVersion;
use stacktack_wire::message::Priority;

const DOCUMENT: &str = r#"
[limits]
load_cap = 1.5

[[model]]
name = "caption"

[[back_end]]
name = "engine-1"
kind = "engine"
models = ["caption"]
labels = { zone = "a" }

[[back_end]]
name = "engine-2"
kind = "engine"
models = ["caption"]
labels = { zone = "b" }

[[tenant]]
name = "family"
key_hashes = ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]
labels = { region = "north" }

[[selector]]
name = "north-stays-in-a"
traffic = { tenant = [{ key = "region", equals = "north" }] }
back_ends = [{ key = "zone", in = ["a"] }]
"#;

#[test]
fn all_faults_are_reported_at_once() {
    let text = DOCUMENT
        .replace("load_cap = 1.5", "load_cap = 0.5")
        .replace("models = [\"caption\"]", "models = [\"nothing\"]")
        .replace("equals = \"north\"", "equals = \"north\", exists = true");
    let document = toml::from_str(&text).expect("parses");
    let faults: Vec<String> = validate(&document)
        .iter()
        .map(ToString::to_string)
        .collect();
    expect![[r#"
        limits.load_cap: 0.5 is not allowed; allowed is 1.05 to 10
        back_end.engine-1.models: nothing is not allowed; allowed is a configured model
        back_end.engine-2.models: nothing is not allowed; allowed is a configured model
        selector.north-stays-in-a.traffic.tenant.region: 2 is not allowed; allowed is exactly one of equals, not_equals, in, not_in, exists for a key"#]]
    .assert_eq(&faults.join("\n"));
}

#[test]
fn unknown_fields_are_refused() {
    let error = parse("[limits]\nload_crap = 1.5\n").expect_err("refused");
    assert!(error.to_string().contains("load_crap"));
}

#[test]
fn selectors_cut_back_ends_by_label() {
    let document = parse(DOCUMENT).expect("valid");
    let configuration = Configuration::new(ConfigurationVersion(1), document);
    let tenant = configuration.document.tenants[0].clone();
    let target = Target::Model(String::from("caption"));
    let pool = evaluate_eligibility(&configuration, &tenant, &target, Priority::Normal);
    assert_eq!(pool.eligible.len(), 1);
    assert_eq!(pool.excluding_selectors(), ["north-stays-in-a"]);
}

#[test]
fn changes_rebuild_the_document_and_versions_never_fall() {
    let first = parse(DOCUMENT).expect("valid");
    let second = parse(&DOCUMENT.replace("load_cap = 1.5", "load_cap = 2.0")).expect("valid");
    let changes =
        [(1, &Default::default(), &first), (2, &first, &second)].map(|(version, before, after)| {
            Change {
                version: ConfigurationVersion(version),
                author: String::from("test"),
                change_id: version.to_string(),
                difference: Difference::between(before, after),
            }
        });
    let encoded = encode(&changes).expect("encodes");
    let (latest, applied) = Configuration::default()
        .with_changes(&encoded)
        .expect("applies");
    assert_eq!(latest.document, second);
    assert_eq!(applied.len(), 2);
    let older = encode(&changes[..1]).expect("encodes");
    let (unchanged, applied) = latest.with_changes(&older).expect("passes over");
    assert_eq!(unchanged.version, ConfigurationVersion(2));
    assert!(applied.is_empty());
}
