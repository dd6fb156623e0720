/** Exit codes of the command; docs/OPERATORS.md lists them. */

export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
/** The command line, the settings or the document is at fault. */
export const EXIT_USAGE = 2;
/** Another change of the catalogue was accepted before. */
export const EXIT_CONFLICT = 3;
/** Accepted, but not every known VM has confirmed it within the wait. */
export const EXIT_NOT_CONFIRMED = 4;
/** No answer from the server. */
export const EXIT_UNREACHABLE = 5;
/** The change may have been accepted; the history tells. */
export const EXIT_UNKNOWN = 6;
/** A broken invariant ended the process. */
export const EXIT_BROKEN_INVARIANT = 70;
