/** The help text of the command line program. */

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
    --server URL      administration address of an entry VM; repeatable (timeline)
                      (default: NUTMEGPROXY_SERVER or http://127.0.0.1:7001)
    --token-file FILE file with the operator token (default: NUTMEGPROXY_TOKEN)
    --revision N      revision that the document is based on (catalogue apply)
    --wait SECONDS    time to wait for all VMs to confirm a change (default: 9)
    --reason TEXT     reason for the drain or stop
    --trace FILE      write the timeline to FILE as Chrome trace events
    --json            print the response as JSON
    --version, --help

  Exit codes
    0 success, 1 failure, 2 usage error or invalid document, 3 conflict,
    4 accepted but not confirmed by all VMs, 5 server unreachable,
    6 outcome unknown, 70 invariant violation (serve)

  Examples
    $ nutmegproxy serve --settings /etc/nutmegproxy/entry-1.jsonc
    $ nutmegproxy catalogue get > catalogue.json
    $ nutmegproxy catalogue apply catalogue.json --revision 12
    $ nutmegproxy drain rack rack-7 --reason "switch replacement"
    $ nutmegproxy stop entry-3
    $ nutmegproxy timeline --trace trace.json
`;
