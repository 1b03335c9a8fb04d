use super::with_current_targets;

#[test]
fn filters_that_name_former_targets_select_the_same_events() {
    let cases = [
        ("hoptiller_node=debug", "hoptiller_platform_router=debug"),
        (
            "info,hoptiller_router::core=trace",
            "info,hoptiller_statement_router::core=trace",
        ),
        ("hoptiller_node_other=debug", "hoptiller_node_other=debug"),
        ("warn", "warn"),
        ("hoptiller_keeper", "hoptiller_coordination_server"),
        ("", ""),
    ];
    for (former, current) in cases {
        assert_eq!(with_current_targets(former), current);
    }
}
