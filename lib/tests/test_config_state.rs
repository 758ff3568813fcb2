//! Changes of the configuration: races, resends, checks and what is kept.

use insta::assert_snapshot;
use yuccamux::{
    config_state::{
        BootstrapRank, ChangeAction, ConfigAnswer, ConfigChange, ConfigCommand, ConfigImage,
        ConfigState, MergeOutcome,
    },
    prelude::*,
    workspace_template,
};

const FILE: &str = "[template.t.kinds.task]\n[workspace.w]\ntemplate = \"t\"\n";

fn publish(change_id: &str, base_version: u64, text: &str) -> ConfigChange {
    let action = ChangeAction::Publish(text.to_owned());
    ConfigChange { change_id: change_id.to_owned(), base_version, action }
}

fn send(state: &mut ConfigState, change: ConfigChange) -> Result<u64, RequestError> {
    match state.apply(ConfigCommand::Change(change, ClockTime(1))) {
        ConfigAnswer::Accepted(version) => Ok(version),
        ConfigAnswer::Refused(error) => Err(error),
        other => panic!("{other:?} is no answer to a change"),
    }
}

/// The error that a published file gets.
fn check_refused(text: &str) -> String {
    let mut state = ConfigState::default();
    let error = send(&mut state, publish("a", 0, text)).unwrap_err();
    assert_eq!(state.image().version, 0);
    error.message
}

#[test]
fn first_of_two_on_one_base_wins() {
    let mut state = ConfigState::default();
    assert_eq!(send(&mut state, publish("a", 0, FILE)), Ok(1));
    let error = send(&mut state, publish("b", 0, FILE)).unwrap_err();
    assert_eq!(error.kind, ErrorKind::VersionConflict);
    assert_eq!(send(&mut state, publish("c", 1, FILE)), Ok(2));
}

#[test]
fn resent_change_gets_its_first_answer_also_after_a_snapshot() {
    let mut state = ConfigState::default();
    let won = publish("a", 0, FILE);
    let lost = publish("b", 0, FILE);
    send(&mut state, won.clone()).unwrap();
    let conflict = send(&mut state, lost.clone()).unwrap_err();
    send(&mut state, publish("c", 1, FILE)).unwrap();
    let mut state = ConfigState::decode(&state.encode()).unwrap();
    assert_eq!(send(&mut state, won), Ok(1));
    assert_eq!(send(&mut state, lost), Err(conflict));
    assert_eq!(state.image().version, 2);
}

#[test]
fn changes_of_different_documents_do_not_conflict() {
    let mut state = ConfigState::default();
    send(&mut state, publish("a", 0, FILE)).unwrap();
    let action = ChangeAction::Drain(EndpointName::from("e"));
    let drain = ConfigChange { change_id: "b".to_owned(), base_version: 0, action };
    assert_eq!(send(&mut state, drain), Ok(2));
}

#[test]
fn image_catches_up_from_any_version_and_never_goes_back() {
    let mut state = ConfigState::default();
    let mut images = vec![state.image().clone()];
    for version in 0..20_u64 {
        let text = format!("{FILE}quota_slots = {}\n", version + 1);
        send(&mut state, publish(&format!("c{version}"), version, &text)).unwrap();
        images.push(state.image().clone());
    }
    for image in &images {
        let mut behind = image.clone();
        behind.merge(state.image().since(image.version));
        assert_eq!(&behind, state.image());
        assert_eq!(behind.merge(images[3].since(0)), MergeOutcome::Known);
        assert_eq!(&behind, state.image());
    }
}

#[test]
fn delta_from_a_later_version_leaves_a_gap_and_is_not_taken() {
    let mut state = ConfigState::default();
    send(&mut state, publish("a", 0, FILE)).unwrap();
    let team = "[workspace.x]\ntemplate = \"t\"\n";
    send(&mut state, publish("b", 1, team)).unwrap();
    // A VM that has restarted is sent what its former incarnation lacked.
    let mut image = ConfigImage::default();
    assert_eq!(image.merge(state.image().since(1)), MergeOutcome::Gap);
    assert_eq!(image, ConfigImage::default());
    assert_eq!(image.merge(state.image().since(0)), MergeOutcome::Merged);
    assert_eq!(&image, state.image());
}

#[test]
fn only_one_bootstrap_of_a_data_centre_is_the_first() {
    let mut state = ConfigState::default();
    let mut bootstrap = |centre: &str, generation| {
        state.apply(ConfigCommand::RecordBootstrap(
            DataCentre::from(centre),
            GenerationId(generation),
        ))
    };
    assert_eq!(bootstrap("munich", 5), ConfigAnswer::BootstrapRecorded(BootstrapRank::First));
    assert_eq!(bootstrap("munich", 5), ConfigAnswer::BootstrapRecorded(BootstrapRank::First));
    assert_eq!(bootstrap("munich", 6), ConfigAnswer::BootstrapRecorded(BootstrapRank::Later));
    assert_eq!(bootstrap("augsburg", 6), ConfigAnswer::BootstrapRecorded(BootstrapRank::First));
}

#[test]
fn errors_name_the_place() {
    assert_snapshot!(check_refused("[template.t"), @"file: line 1, column 12: unclosed table, expected `]`");
    assert_snapshot!(check_refused("[endpoint.e]\n"), @"file: line 1, column 2: unknown field `endpoint`, expected `template` or `workspace`");
    assert_snapshot!(check_refused("[workspace.w]\ntemplate = \"t\"\n"), @r#"workspace.w: there is no template "t""#);
    assert_snapshot!(
        check_refused("[template.t.kinds.k]\nurgency = \"soon\"\n[workspace.w]\ntemplate = \"t\"\n"),
        @r#"workspace.w: kind "k": unknown variant `soon`, expected one of `high`, `normal`, `low`"#
    );
    assert_snapshot!(
        check_refused("[template.t.kinds.k]\nexpected_ms = \"${ms}\"\n[workspace.w]\ntemplate = \"t\"\n"),
        @"workspace.w: the template uses ${ms}, which is no parameter"
    );
    assert_snapshot!(
        check_refused(
            "[template.t.parameters]\nms = 1\n[template.t.kinds.k]\n[workspace.w]\ntemplate = \"t\"\nparameters = { s = 1 }\n"
        ),
        @r#"workspace.w: template "t" has no parameter "s"; it has ["ms"]"#
    );
    assert_snapshot!(check_refused("[workspace.w]\ntemplate = \"t\"\nquota = 4\n"), @"file: line 3, column 1: unknown field `quota`, expected one of `template`, `quota_slots`, `lean`, `parameters`");
}

#[test]
fn parameters_fill_the_template() {
    let mut state = ConfigState::default();
    let text = "[template.t.parameters]\nms = 10\nwho = [\"a-*\", \"b\"]\n\
        [template.t.kinds.k]\nexpected_ms = \"${ms}\"\nendpoints = \"${who}\"\n\
        [workspace.w]\ntemplate = \"t\"\nparameters = { ms = 25 }\n";
    send(&mut state, publish("a", 0, text)).unwrap();
    let config = workspace_template::resolve(state.image()).unwrap();
    let kind = config.kind("w", "k").unwrap();
    assert_eq!(kind.expected_ms, 25);
    assert!(kind.allows("a-1") && kind.allows("b") && !kind.allows("c"));
}
