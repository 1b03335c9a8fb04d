//! Tests of the detection of table groups.

use super::*;

#[test]
fn table_group_is_the_number_in_the_schema_name() {
    for (text, group) in [
        (
            "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
            Some(17),
        ),
        (
            "select t_1.a from sales_17.orders t_1 where t_1.b = 'x_3.y'",
            Some(17),
        ),
        (
            "/* sales_1.a */ INSERT INTO \"ledger_204\".\"entries\" SELECT * FROM staging.load_9",
            Some(204),
        ),
        (
            "select a -- from x_1.y\nfrom staging.x_2 join main.sales_8.orders using (id)",
            Some(8),
        ),
        ("DELETE FROM sales_5.orders", Some(5)),
        ("COPY sales_6.orders FROM 'x'", Some(6)),
        ("select 1.5, a.b from orders", None),
        ("select * from sales_.orders", None),
        ("select * from sales_99999999999999999999999.orders", None),
        ("", None),
    ] {
        assert_eq!(table_group(text), group, "{text}");
    }
}
