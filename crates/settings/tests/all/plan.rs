//! Plans: the changes between two texts and their risk.

use lovagelatch_settings::{PlanRisk, ServiceText, TextPlan};

const OLD: &str = "[service a]\naddress = 127.0.0.1:1 x\ndepends = b\nonce = POST /f\n\
                   [service b]\naddress = 127.0.0.1:2\n";

struct PlanCase {
    name: &'static str,
    new: &'static str,
    changes: &'static [&'static str],
    risk: PlanRisk,
}

const PLAN_CASES: &[PlanCase] = &[
    PlanCase {
        name: "same text",
        new: OLD,
        changes: &[],
        risk: PlanRisk::None,
    },
    PlanCase {
        name: "only the order and a comment differ",
        new: "# moved\n[service b]\naddress = 127.0.0.1:2\n[service a]\nonce = POST /f\n\
              depends = b\naddress = 127.0.0.1:1 x\n",
        changes: &[],
        risk: PlanRisk::None,
    },
    PlanCase {
        name: "service and address added",
        new: "[service a]\naddress = 127.0.0.1:1 x\naddress = 127.0.0.1:3\ndepends = b\n\
              once = POST /f\n[service b]\naddress = 127.0.0.1:2\n[service c]\naddress = 127.0.0.1:4\n",
        changes: &[
            "add address 127.0.0.1:3 to a",
            "add service c",
            "add address 127.0.0.1:4 to c",
        ],
        risk: PlanRisk::None,
    },
    PlanCase {
        name: "two services exchange addresses",
        new: "[service a]\naddress = 127.0.0.1:2\ndepends = b\nonce = POST /f\n\
              [service b]\naddress = 127.0.0.1:1 x\n",
        changes: &[
            "move address 127.0.0.1:2 from b to a",
            "move address 127.0.0.1:1 from a to b",
        ],
        risk: PlanRisk::High,
    },
    PlanCase {
        name: "agency, dependency and route change",
        new: "[service a]\naddress = 127.0.0.1:1 y\nonce = POST /g\n\
              [service b]\naddress = 127.0.0.1:2\ndepends = a\n",
        changes: &[
            "b depends on a",
            "a: POST /g runs at most once",
            "change agency of address 127.0.0.1:1 from x to y",
            "a no longer depends on b",
            "a: POST /f no longer runs at most once",
        ],
        risk: PlanRisk::High,
    },
    PlanCase {
        name: "service removed",
        new: "[service b]\naddress = 127.0.0.1:2\n",
        changes: &["remove service a", "remove address 127.0.0.1:1 from a"],
        risk: PlanRisk::High,
    },
];

#[test]
fn plans_name_every_change_and_its_risk() {
    let old = ServiceText::parse(OLD).unwrap();
    for case in PLAN_CASES {
        let new = ServiceText::parse(case.new).expect(case.name);
        let plan = TextPlan::between(&old, &new);
        let changes: Vec<String> = plan.changes.iter().map(ToString::to_string).collect();
        assert_eq!(changes, case.changes, "{}", case.name);
        assert_eq!(plan.risk(), case.risk, "{}", case.name);
        assert_eq!(plan.is_empty(), case.changes.is_empty(), "{}", case.name);
    }
}
