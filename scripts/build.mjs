// Bundles each program into dist/. A program is a package's src/main.ts.
import {existsSync, readdirSync} from 'node:fs';

import {build} from 'esbuild';

// CommonJS has no import.meta, whose url libraries pass to createRequire when they load.
const BANNER =
  "const importMeta = {url: require('node:url').pathToFileURL(process.execPath).href};";

// With --target, only the program that runs on the users' platform, into target/.
const isTarget = process.argv.includes('--target');
const programs = readdirSync('packages')
  .map((name) => ({in: `packages/${name}/src/main.ts`, out: name.replace('nutmegproxy-', '')}))
  .filter((entry) => existsSync(entry.in));
const entryPoints = isTarget ? [{in: 'platform/src/main.ts', out: 'nutmegproxy'}] : programs;

await build({
  // The package's CommonJS form loads its parts by names that a bundler can't follow.
  alias: {'jsonc-parser': 'jsonc-parser/lib/esm/main.js'},
  banner: {js: BANNER},
  bundle: true,
  define: {'import.meta': 'importMeta'},
  entryPoints,
  format: 'cjs',
  logLevel: 'warning',
  outExtension: {'.js': '.cjs'},
  outdir: isTarget ? 'target' : 'dist',
  platform: 'node',
  sourcemap: !isTarget,
  target: 'node20',
});
console.log(`built ${entryPoints.length} programs`);
