/** The help text of the command. */

export const HELP = `
  Usage
    $ nutmegproxy serve --settings FILE
    $ nutmegproxy catalogue get|apply|check|history [FILE]
    $ nutmegproxy drain|undrain minion|worker|rack|data-centre ID
    $ nutmegproxy stop|unstop VM
    $ nutmegproxy status|tasks|timeline
    $ nutmegproxy explain ID [FILE...]

  Options
    --settings FILE   settings of the entry VM, JSON with comments (serve)
    --server URL      operators' address of an entry VM; repeat for timeline
                      (default NUTMEGPROXY_SERVER or http://127.0.0.1:7001)
    --token-file FILE file with the operator token (default: NUTMEGPROXY_TOKEN)
    --revision N      revision that the document was written for (catalogue apply)
    --wait SECONDS    how long to wait until a change is in force (default 9)
    --reason TEXT     why, for drain and stop
    --trace FILE      writes the time line as Chrome trace events
    --json            prints the answer as JSON
    --version, --help

  Exit codes
    0 done, 1 failed, 2 usage or invalid document, 3 conflict,
    4 accepted but not confirmed everywhere, 5 server unreachable,
    6 outcome unknown, 70 broken invariant (serve)

  Examples
    $ nutmegproxy serve --settings /etc/nutmegproxy/entry-1.jsonc
    $ nutmegproxy catalogue get > catalogue.json
    $ nutmegproxy catalogue apply catalogue.json --revision 12
    $ nutmegproxy drain rack rack-7 --reason "switch replacement"
    $ nutmegproxy stop entry-3
    $ nutmegproxy timeline --trace trace.json
`;
