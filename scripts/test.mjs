// Runs the test files. Arguments narrow the run to files whose path contains one of them.
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import {join} from 'node:path';

const TEST_TIMEOUT_MS = 300_000;

function findTests(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.name === 'node_modules') return [];
    if (entry.isDirectory()) return findTests(path);
    return path.includes('__tests__') && path.endsWith('.test.ts') ? [path] : [];
  });
}

const wanted = process.argv.slice(2);
const files = findTests('packages')
  .filter((path) => wanted.length === 0 || wanted.some((part) => path.includes(part)))
  .sort();
if (files.length === 0) {
  console.error('no test file matches');
  process.exit(1);
}
const result = spawnSync(
  process.execPath,
  [
    '--import',
    'tsx',
    '--test',
    '--test-reporter=spec',
    '--test-concurrency=4',
    `--test-timeout=${TEST_TIMEOUT_MS}`,
    ...files,
  ],
  {stdio: 'inherit'},
);
process.exit(result.status ?? 1);
