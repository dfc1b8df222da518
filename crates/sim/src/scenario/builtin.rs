//! The built-in scenarios: files like any other, embedded in the program.

/// Name and text of a built-in scenario.
struct Builtin {
    name: &'static str,
    text: &'static str,
}

macro_rules! builtin {
    ($name:literal) => {
        Builtin {
            name: $name,
            text: include_str!(concat!("../../scenarios/", $name, ".toml")),
        }
    };
}

const BUILTINS: &[Builtin] = &[
    builtin!("steady"),
    builtin!("slow-deep"),
    builtin!("errors-deep"),
    builtin!("surge"),
    builtin!("surge-all"),
    builtin!("bulk-pulls"),
    builtin!("hard-retry"),
    builtin!("cold-side"),
    builtin!("server-gone"),
    builtin!("server-silent"),
    builtin!("link-loss"),
    builtin!("health-misleads"),
    builtin!("paused-nodes"),
    builtin!("config-down"),
    builtin!("config-stale"),
    builtin!("config-flapping"),
    builtin!("sides-cut"),
    builtin!("zone-lost"),
    builtin!("limit-too-low"),
    builtin!("weight-to-cold-side"),
    builtin!("migration"),
    builtin!("rolling-stops"),
];

/// Names of the built-in scenarios.
pub fn builtin_names() -> impl Iterator<Item = &'static str> {
    BUILTINS.iter().map(|builtin| builtin.name)
}

/// Text of a built-in scenario.
pub fn builtin_text(name: &str) -> Option<&'static str> {
    let builtin = BUILTINS.iter().find(|builtin| builtin.name == name);
    builtin.map(|builtin| builtin.text)
}
