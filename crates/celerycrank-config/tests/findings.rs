//! Findings about lists against the check that `apply` and the processes use, and differences.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use celerycrank_config::{
    CheckedDocument, Configuration, Difference, Finding, KeyHash, LIST_FINDING_CODES,
    ListDocuments, ListTexts, PolicyTable, RequestTarget, ResolvedOffer, Tendency, TextPosition,
    check_lists, compare_lists,
};
use celerycrank_types::Revision;
use serde_json::{Value, json};

/// Number of generated pairs of lists in each property test.
const PAIRS: u64 = 500;

/// Runs a property at fixed seeds; their lower half is the number of random bytes.
fn at_fixed_seeds(property: impl Fn(&mut Unstructured<'_>) -> Drawn<()>) {
    for number in 1..=PAIRS {
        arbtest::arbtest(&property).seed(number << 32 | 0x400);
    }
}

/// Valid lists: customers and plans.
fn draw_lists(u: &mut Unstructured<'_>) -> Drawn<[Value; 2]> {
    let mut plans = Vec::new();
    for index in 0..u.int_in_range(1..=3)? {
        let mut plan = json!({
            "plan": format!("p{index}"),
            "share": u.choose(&[1, 5, u32::MAX])?,
            "priority": u.choose(&["high", "normal", "low"])?,
            "deadline": u.choose(&["1ms", "940ms", "2s"])?,
            "uses": [{"model": {"model": u.choose(&["m0", "m1"])?}}],
        });
        if u.arbitrary()? {
            plan["rate"] = json!(u.choose(&["1/s", "256/s", "9000/s"])?);
        }
        for (number, prefix) in ["/a", "/a/", "/a/b", "/"].into_iter().enumerate() {
            if u.arbitrary()? {
                let service = format!("s{number}");
                let repeat = u.choose(&["never", "keyed", "repeatable"])?;
                let repeat = if prefix == "/a/" { *repeat } else { "never" };
                let service = json!({"service": service, "prefix": prefix, "repeat": repeat});
                plan["uses"]
                    .as_array_mut()
                    .unwrap()
                    .push(json!({"service": service}));
            }
        }
        plans.push(plan);
    }
    // All plans have to agree on whether calls to a service may be repeated.
    let first = plans.iter().find_map(|plan| repeat_rule(plan).cloned());
    for plan in &mut plans {
        for used in plan["uses"].as_array_mut().unwrap() {
            if used["service"]["prefix"] == "/a/" {
                used["service"]["repeat"] = first.clone().unwrap();
            }
        }
    }
    let mut accounts = Vec::new();
    for index in 0..u.int_in_range(1..=3)? {
        let plan = format!("p{}", u.choose_index(plans.len())?);
        let key = KeyHash::of_key(&format!("k{index}{}", u.choose(&["x", "y"])?));
        accounts.push(json!({"account": format!("a{index}"), "plan": plan, "keys": [key]}));
    }
    Ok([json!({"accounts": accounts}), json!({"plans": plans})])
}

fn repeat_rule(plan: &Value) -> Option<&Value> {
    let mut uses = plan["uses"].as_array().unwrap().iter();
    let found = uses.find(|it| it["service"]["prefix"] == "/a/")?;
    Some(&found["service"]["repeat"])
}

/// Fields with values that are not accepted: list, JSON pointer, value.
const BREAKAGES: &str = r#"
0 /accounts 7
0 /accounts/0/account "BAD NAME"
0 /accounts/0/plan "missing"
0 /accounts/0/keys []
0 /accounts/0/keys ["secret"]
0 /accounts/0/kees []
1 /plans {}
1 /plans/0/share 0
1 /plans/0/share 1.5
1 /plans/0/priority "urgent"
1 /plans/0/rate "0/s"
1 /plans/0/rate "fast"
1 /plans/0/deadline "0ms"
1 /plans/0/uses []
1 /plans/0/uses [{"service": {"service": "s", "prefix": "/v1", "repeat": "never"}}]
1 /plans/0/uses [{"model": {"model": "m"}}, {"model": {"model": "m"}}]
"#;

fn read(lists: &[String; 2]) -> (Vec<Finding>, Option<Configuration>) {
    let documents = ListDocuments {
        customers: CheckedDocument::new("customers.json", &lists[0]),
        plans: CheckedDocument::new("plans.json", &lists[1]),
    };
    let texts = ListTexts {
        customers: &lists[0],
        plans: &lists[1],
    };
    match check_lists(texts) {
        Ok((customers, plans)) => {
            let warnings = documents.warnings(&customers, &plans);
            let revision = Revision(1);
            let configuration = Configuration {
                revision,
                customers,
                plans,
            };
            (warnings, Some(configuration))
        }
        Err(errors) => (documents.error_findings(&errors), None),
    }
}

/// Guards against lists that pass the check but of which a process drops an account or a use, and
/// against valid lists that are reported as broken.
#[test]
fn lists_without_errors_are_in_force_whole_and_the_other_way_round() {
    at_fixed_seeds(|u| {
        let mut lists = draw_lists(u)?;
        let breakages = BREAKAGES.trim().lines().collect::<Vec<_>>();
        let breakage = u.choose(&breakages)?.splitn(3, ' ').collect::<Vec<_>>();
        let is_broken = u.arbitrary()?;
        if is_broken {
            let list = breakage[0].parse::<usize>().unwrap();
            let (parent, field) = breakage[1].rsplit_once('/').unwrap();
            let value = serde_json::from_str::<Value>(breakage[2]).unwrap();
            lists[list].pointer_mut(parent).unwrap()[field] = value;
        }
        let texts = lists
            .clone()
            .map(|list| serde_json::to_string_pretty(&list).unwrap());
        let (findings, configuration) = read(&texts);
        assert_eq!(configuration.is_none(), is_broken, "{breakage:?}");
        for finding in &findings {
            assert!(LIST_FINDING_CODES.contains(&finding.code), "{finding}");
            assert!(finding.position.is_some(), "{finding}");
            assert!(!finding.to_string().contains("secret"), "{finding}");
        }
        let Some(configuration) = configuration else {
            let path = breakage[1][1..].replace("/0", "[0]").replace('/', ".");
            assert!(
                findings.iter().any(|it| it.path.starts_with(&path)),
                "{findings:?}"
            );
            return Ok(());
        };
        let table = PolicyTable::new(&configuration);
        for account in lists[0]["accounts"].as_array().unwrap() {
            let name = account["account"].as_str().unwrap();
            let keys = ["x", "y"].map(|it| format!("k{}{it}", &name[1..]));
            let index = keys.iter().find_map(|key| table.authenticate(key)).unwrap();
            assert_eq!(table.account(index).as_str(), name);
            check_reported_uses(&configuration, &table, index, &findings);
        }
        Ok(())
    });
}

/// A use is reported as hidden exactly if the account's requests at its prefix go elsewhere.
fn check_reported_uses(
    configuration: &Configuration,
    table: &PolicyTable,
    index: celerycrank_config::AccountIndex,
    findings: &[Finding],
) {
    let mut plans = configuration.plans.plans.iter();
    let number = plans
        .position(|plan| plan.plan == *table.plan(index))
        .unwrap();
    let uses = serde_json::to_value(&configuration.plans.plans[number].uses).unwrap();
    for (position, used) in uses.as_array().unwrap().iter().enumerate() {
        let service = &used["service"];
        let Some(path) = service["prefix"].as_str() else {
            continue;
        };
        let target = RequestTarget::Path {
            method: "GET",
            path,
        };
        let offer = table.resolve(index, target).unwrap().offer;
        let name = service["service"].as_str().unwrap().parse().unwrap();
        let place = format!("plans[{number}].uses[{position}].service.prefix");
        let is_reported = findings
            .iter()
            .any(|it| it.code == "use_hidden" && *it.path == *place);
        assert_eq!(
            is_reported,
            offer != ResolvedOffer::Service(name),
            "{place}"
        );
    }
}

fn count(differences: &[Difference], tendency: Tendency) -> usize {
    differences
        .iter()
        .filter(|it| it.tendency == tendency)
        .count()
}

/// Guards against a difference that is called stricter in both directions, or in neither.
#[test]
fn what_becomes_stricter_becomes_laxer_on_the_way_back() {
    at_fixed_seeds(|u| {
        let mut draw = || {
            let lists = draw_lists(u)?.map(|list| list.to_string());
            Ok(read(&lists).1.unwrap())
        };
        let (one, other) = (draw()?, draw()?);
        let compare = |old: &Configuration, new: &Configuration| {
            compare_lists((&old.customers, &old.plans), (&new.customers, &new.plans))
        };
        let (there, back) = (compare(&one, &other), compare(&other, &one));
        let [from, to] = [&there, &back]
            .map(|it| [Tendency::Stricter, Tendency::Laxer].map(|kind| count(it, kind)));
        assert_eq!(from, [to[1], to[0]], "{there:#?} {back:#?}");
        assert_eq!(compare(&one, &one), []);
        Ok(())
    });
}

/// Guards against positions that lead an operator to another line.
#[test]
fn the_position_is_that_of_the_value_or_of_the_closest_one_around_it() {
    let text =
        " {\n  \"a\": [1,\n    {\"b\": 2, \"\\u0062\": \"last\"}],\n  \"é\": {}, \"c\": 3\n}\n";
    let document = CheckedDocument::new("f", text);
    let cases = [
        ("", 1, 2),
        ("a", 2, 8),
        ("a[0]", 2, 9),
        ("a[1].b", 3, 24),
        ("a[1].missing.deeper", 3, 5),
        ("a[7]", 2, 8),
        ("c", 4, 18),
    ];
    for (path, line, column) in cases {
        assert_eq!(
            document.locate(path),
            Some(TextPosition { line, column }),
            "{path}"
        );
    }
    let position = TextPosition { line: 2, column: 5 };
    assert_eq!(
        CheckedDocument::new("f", "{\n \"a\"}").locate("a"),
        Some(position),
        "the syntax error"
    );
}

/// Guards against a file of deeply nested values that ends the command by a stack overflow.
#[test]
fn deep_nesting_has_a_position() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let text = format!("{}1{}", open.repeat(100_000), close.repeat(100_000));
        let position = CheckedDocument::new("f.json", &text).locate("a.a[0]");
        assert_eq!(position.map(|it| it.line), Some(1));
    }
}
