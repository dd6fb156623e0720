// Builds dist/nutmegproxy: a copy of the Node executable with the bundled command embedded.
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, readFileSync, writeFileSync} from 'node:fs';

import {inject} from 'postject';

import {replaceFile} from './replaceFile.mjs';

const BLOB = 'dist/nutmegproxy.blob';
const CONFIG = 'dist/sea-config.json';
const OUTPUT = 'dist/nutmegproxy';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

execFileSync(process.execPath, ['scripts/build.mjs'], {stdio: 'inherit'});
writeFileSync(
  CONFIG,
  JSON.stringify({disableExperimentalSEAWarning: true, main: 'dist/cli.cjs', output: BLOB}),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], {stdio: 'inherit'});
await replaceFile(OUTPUT, async (written) => {
  copyFileSync(process.execPath, written);
  chmodSync(written, 0o755);
  await inject(written, 'NODE_SEA_BLOB', readFileSync(BLOB), {sentinelFuse: FUSE});
});
console.log(`built ${OUTPUT}`);
