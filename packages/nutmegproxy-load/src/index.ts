/** The package exports nothing; it is run as a program. */

export {};
