//! The help text, and suggestions for mistyped commands.

use balsam_plan::suggest::suggest;

/// The text of `balsamctl --help`.
pub const HELP: &str = "\
balsamctl: operates a balsamturn estate

A change takes two commands: `plan` says what would happen and changes nothing, `confirm` does it.

Usage: balsamctl COMMAND [OPTIONS]

Look:
  status                      data centres, entry nodes, pools, groups, routes, plans
  watch                       the status, then each change of it; ends with Ctrl-C
  history [--last N]          the audit trail: who changed what, why, and the result (last 20)
  explain group NAME          why a group serves or does not, and its history
  explain vm NAME             what is known of a VM
  explain request-key ORGANISATION/KEY
                              whether a request with an Idempotency-Key ran
  explain request ID [--log FILE]...
                              what the nodes' logs say of a request on the operators' platform;
                              reads standard input without a file, and needs no node and no token

Change (each needs --reason TEXT):
  plan INTENT...              make a plan; prints its steps and the command that confirms it
  confirm PLAN [--wait]       carry out a plan; --wait follows it until its last step is done
  abort PLAN                  end a plan; the steps already done stay

Intents:
  onboard FILE                add the organisation described in a TOML file
  offboard ORGANISATION       remove an organisation
  put-pool FILE               add or change the pool described in a TOML file
  put-route FILE              add or change the route described in a TOML file
  roll POOL VERSION           move a pool to a model version, batch by batch
  drain DATA_CENTRE [--force] take a data centre out
  return DATA_CENTRE          bring a drained data centre back
  retire GROUP [--force]      dissolve a group
  resize POOL N [--force]     change the number of groups of a pool
  move ROUTE POOL             move a route to another pool, with comparison
  --force accepts that a pool is left without any serving group.

Options, before or after the command:
  --node IP:PORT              operators' address of an entry node; may be repeated: the next one
                              is tried when one cannot be reached
  --token-file FILE           file with the operator token; else BALSAMCTL_TOKEN is used
  --reason TEXT               why, for the audit trail
  --json                      JSON for scripts; the keys are listed in docs/OPERATIONS.md
  --help, --version

Exit codes:
  0  done
  1  failed or refused; nothing was changed
  2  wrong arguments or an invalid file
  3  the outcome is unknown: look at `balsamctl history` before you repeat the command
  4  no entry node could be reached

Examples:
  export BALSAMCTL_TOKEN=$(cat ~/.balsam-token)
  balsamctl status --node 10.0.0.1:7003 --node 10.0.0.2:7003
  balsamctl plan drain hu-east-b --reason 'power work' --node 10.0.0.1:7003
  balsamctl confirm plan-1a2b3c4d --wait --reason 'power work' --node 10.0.0.1:7003
  balsamctl explain group balsam-pool.g3 --node 10.0.0.1:7003

A route file:
  route = \"reports\"
  model = \"race-report\"       # or: path_prefix = \"/orders\"
  pool = \"balsam-pool\"
  deadline_ms = 30000
";

const COMMANDS: [&str; 7] = ["status", "plan", "confirm", "abort", "watch", "history", "explain"];

const INTENTS: [&str; 10] = [
    "onboard",
    "offboard",
    "put-pool",
    "put-route",
    "roll",
    "drain",
    "return",
    "retire",
    "resize",
    "move",
];

const SUBJECTS: [&str; 4] = ["group", "vm", "request-key", "request"];

/// Returns an error message with a suggestion if a command, intent or kind of object is unknown.
pub fn suggest_correction(args: &[&str]) -> Option<String> {
    let (known, arg): (&[&str], &str) = match args {
        [] => return None,
        ["plan", intent, ..] => (&INTENTS, intent),
        ["explain", subject, ..] => (&SUBJECTS, subject),
        [command, ..] => (&COMMANDS, command),
    };
    if known.contains(&arg) {
        return None;
    }
    let similar = suggest(arg, known.iter().copied());
    Some(match (similar.first(), args.len() == 1 && INTENTS.contains(&arg)) {
        (_, true) => format!("{arg:?} is an intent: use `balsamctl plan {arg} ...`"),
        (Some(similar), _) => format!("{arg:?} is not known; did you mean {similar:?}?"),
        (None, _) => format!("{arg:?} is not known; expected one of {}", known.join(", ")),
    })
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Guards against a mistyped command that is rejected without a hint at the right one.
    #[rstest]
    #[case::command(&["statsu"], Some("did you mean \"status\"?"))]
    #[case::intent(&["plan", "drian", "x"], Some("did you mean \"drain\"?"))]
    #[case::subject(&["explain", "grop"], Some("did you mean \"group\"?"))]
    #[case::intent_without_plan(&["drain"], Some("balsamctl plan drain"))]
    #[case::far_from_all(&["xxxxxxxxxx"], Some("expected one of status"))]
    #[case::known(&["plan", "drain"], None)]
    fn a_mistyped_command_gets_a_suggestion(#[case] args: &[&str], #[case] expected: Option<&str>) {
        let found = suggest_correction(args);
        match expected {
            None => assert_eq!(found, None),
            Some(part) => assert!(found.as_ref().is_some_and(|f| f.contains(part)), "{found:?}"),
        }
    }
}
