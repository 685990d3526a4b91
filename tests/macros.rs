//! The macro that gives a test its site.

/// A test with a running site made from a plan.
#[macro_export]
macro_rules! site_test {
    ($name:ident, $plan:expr, $test:expr) => {
        #[test]
        fn $name() {
            let plan = $plan;
            let site = figrill_standin::site::Site::start(&plan)
                .expect("the site starts");
            let test: fn(figrill_standin::site::Site) = $test;
            test(site);
        }
    };
}
