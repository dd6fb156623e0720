/** Exit codes of the command line program; documented in docs/OPERATORS.md. */

export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
/** The command line, the settings or the document is invalid. */
export const EXIT_USAGE = 2;
/** Another change to the catalogue was accepted first. */
export const EXIT_CONFLICT = 3;
/** Accepted, but not confirmed by every known VM within the wait time. */
export const EXIT_NOT_CONFIRMED = 4;
/** No valid response from the server, or the server reported that it is unavailable. */
export const EXIT_UNREACHABLE = 5;
/** The change may have been accepted; check the history. */
export const EXIT_UNKNOWN = 6;
/** The process exited on an invariant violation or an uncaught error. */
export const EXIT_BROKEN_INVARIANT = 70;
