// Bundles each program (a package's src/main.ts) into dist/.
import {existsSync, mkdirSync, readdirSync, writeFileSync} from 'node:fs';

import {build} from 'esbuild';

import {replaceFile} from './replaceFile.mjs';

// Replaces import.meta, which CommonJS lacks; libraries pass its url to createRequire on load.
const BANNER =
  "const importMeta = {url: require('node:url').pathToFileURL(process.execPath).href};";

// With --target, bundles only the program for the target platform, into target/.
const isTarget = process.argv.includes('--target');
const programs = readdirSync('packages')
  .map((name) => ({in: `packages/${name}/src/main.ts`, out: name.replace('nutmegproxy-', '')}))
  .filter((entry) => existsSync(entry.in));
const entryPoints = isTarget ? [{in: 'platform/src/main.ts', out: 'nutmegproxy'}] : programs;
const outdir = isTarget ? 'target' : 'dist';

const {outputFiles} = await build({
  // The package's CommonJS build requires its modules dynamically, which a bundler cannot resolve.
  alias: {'jsonc-parser': 'jsonc-parser/lib/esm/main.js'},
  banner: {js: BANNER},
  bundle: true,
  define: {'import.meta': 'importMeta'},
  entryPoints,
  format: 'cjs',
  logLevel: 'warning',
  outExtension: {'.js': '.cjs'},
  outdir,
  platform: 'node',
  sourcemap: !isTarget,
  target: 'node20',
  write: false,
});
mkdirSync(outdir, {recursive: true});
for (const {contents, path} of outputFiles) {
  await replaceFile(path, (written) => writeFileSync(written, contents));
}
console.log(`built ${entryPoints.length} programs`);
