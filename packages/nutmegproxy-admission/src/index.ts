/** Public surface; filled by the package. */

export {};
