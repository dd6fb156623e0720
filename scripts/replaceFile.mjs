// Replaces files as a whole, so that a process which starts meanwhile reads the former or the new one.
import {renameSync, rmSync} from 'node:fs';

/** Passes `write` a path beside `path`, and renames the file that it wrote there. */
export async function replaceFile(path, write) {
  const written = `${path}.${process.pid}.tmp`;
  try {
    await write(written);
    renameSync(written, path);
  } finally {
    rmSync(written, {force: true});
  }
}
