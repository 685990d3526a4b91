//! The macro that defines tests on a running site.

/// Defines a test that starts a site from a plan and passes it to a function.
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
