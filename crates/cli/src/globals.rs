//! Options that every subcommand takes may stand before or after it.

/// Global options with a value.
const WITH_VALUE: [&str; 2] = ["--daemon", "--token-file"];

/// Global options without one.
const SWITCHES: [&str; 1] = ["--json"];

/// Moves the global options to the front, where the parser wants them. Nothing after `--` moves.
pub fn hoist(args: &[String]) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        if arg == "--" {
            rest.push(arg.clone());
            rest.extend(args.cloned());
            break;
        }
        if SWITCHES.contains(&arg.as_str()) {
            front.push(arg.clone());
            continue;
        }
        if WITH_VALUE.contains(&arg.as_str()) {
            front.push(arg.clone());
            front.extend(args.next().cloned());
            continue;
        }
        rest.push(arg.clone());
    }
    front.extend(rest);
    front
}
