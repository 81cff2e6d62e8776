//! Command-line sessions of operators, compared with reference transcripts.

mod operator_session;

use std::{future::ready, net::SocketAddr, rc::Rc};

use actix_http::StatusCode;
use celerycrank_client::{Expected, KeyValueClient, RecordFeed};
use celerycrank_config::ConfigurationRecord;
use celerycrank_standin::{
    HttpAnswer, HttpCall, HttpHandler, KeyValueFaults, ListedOffer, ListedVm, OutageKind,
    StandinServer,
};
use celerycrank_types::{Revision, TimeSpan};
use futures_util::{FutureExt, future::LocalBoxFuture};
use operator_session::OperatorSession;

const CUSTOMERS: &str = include_str!("../../celerycrank-config/tests/data/good-customers.json");
const PLANS: &str = include_str!("../../celerycrank-config/tests/data/good-plans.json");

async fn session_with_lists() -> OperatorSession {
    let session = OperatorSession::start().await;
    session.write("ana/customers.json", CUSTOMERS);
    session.write("ana/plans.json", PLANS);
    session
}

fn faults(outage: OutageKind, lost_answers: u32) -> KeyValueFaults {
    KeyValueFaults {
        outage,
        lost_answers,
        ..KeyValueFaults::default()
    }
}

#[actix_rt::test]
async fn first_apply_and_an_edit() {
    let mut session = session_with_lists().await;
    session.run("ana", "show").await;
    session.run("ana", "diff").await;
    session.run("ana", "apply --author ana --note first").await;
    session.run("ana", "apply --author ana").await;
    session.write(
        "ana/plans.json",
        &PLANS.replace("\"share\": 1,", "\"share\": 0,"),
    );
    session.run("ana", "check").await;
    session.run("ana", "apply --author ana").await;
    session.write(
        "ana/plans.json",
        &PLANS.replace("\"share\": 1,", "\"share\": 3,"),
    );
    session.run("ana", "check").await;
    session.run("ana", "diff --format json").await;
    session
        .run("ana", "apply --author ana --note 'more for all'")
        .await;
    session.run("ana", "history").await;
    insta::assert_snapshot!(session.transcript());
}

#[actix_rt::test]
async fn concurrent_operators_lose_no_edit() {
    let mut session = session_with_lists().await;
    session.run("ana", "apply --author ana --note first").await;
    session.run("rui", "export").await;
    let theirs = session.read("rui/plans.json");
    session.write(
        "rui/plans.json",
        &theirs.replace("\"share\": 5,", "\"share\": 8,"),
    );
    session.write(
        "ana/customers.json",
        &CUSTOMERS.replace("\"plan\": \"plain\"", "\"plan\": \"gold\""),
    );
    session
        .run("rui", "apply --author rui --note 'gold grows'")
        .await;
    session.run("ana", "apply --author ana").await;
    session.run("ana", "apply --author ana --format json").await;
    session
        .run("ana", "export --dir theirs --platform-dir .")
        .await;
    session.copy("ana/platform.json", "ana/theirs/platform.json");
    session.copy("ana/customers.json", "ana/theirs/customers.json");
    session.run("ana", "diff --dir theirs").await;
    session.run("ana", "apply --dir theirs --author ana").await;
    session.run("ana", "history --limit 2").await;
    insta::assert_snapshot!(session.transcript());
}

#[actix_rt::test]
async fn nonce_resolves_a_lost_answer() {
    let mut session = session_with_lists().await;
    session.add_comment("the answer to the next write is lost");
    session.key_value.set_faults(faults(OutageKind::None, 1));
    session.run("ana", "apply --author ana").await;
    session.run("ana", "history").await;
    session.add_comment("the answer to the next write is lost");
    session.key_value.set_faults(faults(OutageKind::None, 1));
    session
        .run(
            "ana",
            "stop announce entry:entry-1 --author ana --at 2030-01-01T00:00:00Z",
        )
        .await;
    session.run("ana", "stop list").await;
    session.add_comment("the answers to all writes are lost");
    session.key_value.set_faults(faults(OutageKind::None, 100));
    session.write(
        "ana/plans.json",
        &PLANS.replace("\"share\": 1,", "\"share\": 3,"),
    );
    session.run("ana", "apply --author ana").await;
    session.key_value.set_faults(faults(OutageKind::None, 0));
    session.run("ana", "apply --author ana").await;
    session.run("ana", "history").await;
    insta::assert_snapshot!(session.transcript());
}

#[actix_rt::test]
async fn commands_change_nothing_during_an_outage() {
    let mut session = session_with_lists().await;
    session.run("ana", "apply --author ana").await;
    session.write(
        "ana/plans.json",
        &PLANS.replace("\"share\": 1,", "\"share\": 3,"),
    );
    session.add_comment("the key-value service is down");
    session.key_value.set_faults(faults(OutageKind::Refuse, 0));
    for command in ["check", "diff", "apply --author ana", "show", "stop list"] {
        session.run("ana", command).await;
    }
    session.add_comment("the key-value service is back");
    session.key_value.set_faults(faults(OutageKind::None, 0));
    session.run("ana", "diff").await;
    insta::assert_snapshot!(session.transcript());
}

#[actix_rt::test]
async fn lost_record_does_not_reset_the_revision() {
    let mut session = session_with_lists().await;
    session.write("ana/revision.json", "{ \"revision\": 41 }");
    session.run("ana", "apply --author ana").await;
    session.run("ana", "apply --author ana --restore").await;
    session.run("ana", "history").await;
    insta::assert_snapshot!(session.transcript());
}

#[actix_rt::test]
async fn stop_warns_of_insufficient_capacity() {
    let mut session = session_with_lists().await;
    let vm = |number: u16, domain: &str| ListedVm {
        vm: format!("vm-{number}").parse().unwrap(),
        domain: domain.parse().unwrap(),
        address: ([127, 0, 0, 1], 4_000 + number).into(),
        offers: ListedOffer::Model("drafter".parse().unwrap()),
        leaving: false,
    };
    let vms = vec![vm(1, "borba"), vm(2, "borba"), vm(3, "estremoz")];
    session.vm_list.set_vms(vms);
    session.run("ana", "stop list").await;
    let at = "--at 2030-01-01T00:00:00Z --author ana";
    session
        .run("ana", &format!("stop announce vm:vm-3 {at} --reason image"))
        .await;
    session
        .run("ana", &format!("stop announce domain:borba {at}"))
        .await;
    session
        .run(
            "ana",
            &format!("stop announce domain:borba {at} --format json"),
        )
        .await;
    session
        .run("ana", &format!("stop announce vm:vm-9 {at}"))
        .await;
    session
        .run("ana", &format!("stop announce domain:borba {at} --force"))
        .await;
    session.run("ana", "stop list").await;
    session.run("ana", "stop withdraw domain:borba").await;
    session.run("ana", "stop withdraw domain:borba").await;
    session.run("ana", "stop list --format json").await;
    session.run("ana", "stop announce borba").await;
    session
        .run(
            "ana",
            "stop announce domain:borba --at 2030-02-30T00:00:00Z",
        )
        .await;
    insta::assert_snapshot!(session.transcript());
}

/// Serves a status document as an entry does.
struct StatusPage(&'static str);

impl HttpHandler for StatusPage {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        assert_eq!(call.path, "/status");
        ready(HttpAnswer::text(StatusCode::OK, self.0)).boxed_local()
    }
}

#[actix_rt::test]
async fn status_is_formatted_as_text_and_json() {
    let mut session = OperatorSession::start().await;
    let page = Rc::new(StatusPage(include_str!("data/status.json")));
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StandinServer::start(address, page).await.unwrap();
    let command = format!("status --address {}", server.address());
    session.run("ana", &command).await;
    session
        .run("ana", &format!("{command} --format json"))
        .await;
    let garbled = Rc::new(StatusPage("{ \"entry\":"));
    let garbled = StandinServer::start(address, garbled).await.unwrap();
    session
        .run("ana", &format!("status --address {}", garbled.address()))
        .await;
    let transcript = session.transcript();
    let transcript = transcript.replace(&server.address().to_string(), "ENTRY");
    let transcript = transcript.replace(&garbled.address().to_string(), "GARBLED");
    insta::assert_snapshot!(transcript);
}

#[actix_rt::test]
async fn process_reports_every_settings_error() {
    let mut session = OperatorSession::start().await;
    let settings = include_str!("../../celerycrank-config/tests/data/bad-entry.json");
    session.write("ana/entry.json", settings);
    let settings = include_str!("../../celerycrank-config/tests/data/bad-agent.json");
    session.write("ana/agent.json", settings);
    session.run("ana", "entry --settings entry.json").await;
    session.run("ana", "agent --settings agent.json").await;
    session.run("ana", "entry --settings missing.json").await;
    insta::assert_snapshot!(session.transcript());
}

/// A write whose answer was lost must be reported as accepted even if another operator has
/// written a later revision before the retry.
#[actix_rt::test]
async fn write_is_recognized_after_a_later_one_followed() {
    let mut session = session_with_lists().await;
    session.run("ana", "apply --author ana").await;
    let plans = PLANS.replace("\"share\": 1,", "\"share\": 3,");
    session.write("ana/plans.json", &plans);
    session.key_value.set_faults(faults(OutageKind::None, 1));
    let applying = session.spawn("ana", "apply --author ana");
    write_revision_three(&session.key_value.url()).await;
    let output = applying.await.unwrap().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(
        text,
        "revision 2 accepted:\n  plan plain: share 1 -> 3\n",
        "exit {:?}",
        output.status.code()
    );
    assert!(
        session
            .read("ana/revision.json")
            .contains("\"revision\": 2")
    );
}

/// Waits for revision 2 and writes revision 3 after it.
async fn write_revision_three(url: &str) {
    let client = KeyValueClient::new(&[url.into()], TimeSpan::from_secs(5));
    let mut feed = RecordFeed::new(client.clone(), "/celerycrank/configuration");
    loop {
        let stored = feed.next().await.unwrap().unwrap();
        let mut record = serde_json::from_slice::<ConfigurationRecord>(&stored.value).unwrap();
        if record.revision != Revision(2) {
            continue;
        }
        record.revision = record.revision.next();
        record.nonce = "of rui".into();
        record.author = "rui".into();
        record.append_change(Vec::new());
        let value = serde_json::to_vec(&record).unwrap();
        let expected = Expected::At(stored.revision);
        let swap = client.compare_and_swap(&stored.key, expected, value.into());
        swap.await.unwrap();
        return;
    }
}

/// With 750 changes a day, the commands must add almost no load on the key-value service.
#[actix_rt::test]
async fn edit_takes_one_read_and_one_write() {
    let mut session = session_with_lists().await;
    session.run("ana", "apply --author ana").await;
    let counts = session.key_value.counts();
    assert_eq!((counts.reads, counts.writes, counts.watches), (1, 1, 0));
}

/// When several operators edit the same revision, exactly one must succeed and every other one
/// must get a conflict, also when answers are lost.
#[actix_rt::test]
async fn exactly_one_concurrent_operator_succeeds() {
    for lost_answers in [0, 1, 3] {
        let mut session = session_with_lists().await;
        session.run("ana", "apply --author ana").await;
        session
            .key_value
            .set_faults(faults(OutageKind::None, lost_answers));
        let mut operators = Vec::new();
        for share in 11..17 {
            let dir = format!("operator-{share}");
            let plans = PLANS.replace("\"share\": 1,", &format!("\"share\": {share},"));
            session.write(&format!("{dir}/plans.json"), &plans);
            session.write(&format!("{dir}/customers.json"), CUSTOMERS);
            for file in ["platform.json", "revision.json"] {
                session.write(
                    &format!("{dir}/{file}"),
                    &session.read(&format!("ana/{file}")),
                );
            }
            operators.push(session.spawn(&dir, &format!("apply --author {dir}")));
        }
        let mut codes = Vec::new();
        for operator in operators {
            codes.push(operator.await.unwrap().unwrap().status.code().unwrap());
        }
        codes.sort_unstable();
        assert_eq!(codes, [0, 4, 4, 4, 4, 4], "{lost_answers} lost answers");
        let history = session.spawn("ana", "history --format json").await;
        let output = history.unwrap().unwrap().stdout;
        let value = serde_json::from_slice::<serde_json::Value>(&output).unwrap();
        assert_eq!(value["changes"].as_array().unwrap().len(), 2);
        assert_eq!(value["changes"][0]["revision"], 2);
    }
}
