import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {describe, it, mock} from 'node:test';

import {LogStream} from '../../LogStream.ts';

const LINE = `${'x'.repeat(99)}\n`;

describe('LogStream', () => {
  function createStream(bytesPerSecond = 1_000): {
    lines: string[];
    stream: LogStream;
    writes: string[];
    advance: (ms: number) => void;
  } {
    let now = 0;
    const lines: string[] = [];
    const writes: string[] = [];
    const stream = new LogStream({
      bytesPerSecond,
      now: () => now,
      output: {
        write: (text) => {
          writes.push(text);
          lines.push(...text.split(/(?<=\n)/));
        },
      },
    });
    return {
      advance: (ms) => {
        now += ms;
      },
      lines,
      stream,
      writes,
    };
  }

  it('writes lines within the rate limit', () => {
    const {advance, lines, stream} = createStream();
    for (let second = 0; second < 10; second += 1) {
      for (let line = 0; line < 10; line += 1) {
        stream.write(LINE);
      }
      advance(1_000);
    }
    stream.flush();
    assert.equal(lines.length, 100);
  });

  it('drops lines above the rate limit and logs how many', () => {
    const {advance, lines, stream} = createStream();
    for (let line = 0; line < 50; line += 1) {
      stream.write(LINE);
    }
    stream.flush();
    assert.equal(lines.length, 20);
    assert.equal(stream.droppedLines, 30);
    advance(5_000);
    stream.write(LINE);
    stream.flush();
    assert.match(lines[20] ?? '', /"leftOutBytes":3000,"leftOutLines":30/);
    assert.equal(stream.droppedLines, 0);
  });

  it('drops a line before it is formatted when none fits, and counts it', () => {
    const {advance, lines, stream} = createStream();
    for (let line = 0; line < 19; line += 1) {
      assert.equal(stream.dropIfExhausted(), false);
      stream.write(LINE);
    }
    assert.equal(stream.dropIfExhausted(), true);
    assert.equal(stream.droppedLines, 1);
    advance(1_000);
    assert.equal(stream.dropIfExhausted(), false);
    stream.write(LINE);
    stream.flush();
    assert.match(lines.at(-2) ?? '', /"leftOutLines":1,/);
  });

  describe('while frequent lines use up their part of the allowance', () => {
    /** Bytes that only lines that are not frequent may use, at the rate of the streams under test. */
    const RESERVED_BYTES = 500;
    const BURST_BYTES = 2_000;

    /** Writes as many lines as are not dropped; returns their number. */
    function writeLines(stream: LogStream, count: number, isFrequent: boolean): number {
      let written = 0;
      for (let line = 0; line < count; line += 1) {
        if (!stream.dropIfExhausted(isFrequent)) {
          stream.write(LINE);
          written += 1;
        }
      }
      stream.flush();
      return written;
    }

    function sumBytes(lines: readonly string[]): number {
      return lines.filter((line) => line === LINE).length * LINE.length;
    }

    it('keeps a part for the others', () => {
      const {lines, stream} = createStream();
      const frequent = writeLines(stream, 100, true);
      assert.ok(frequent > 0);
      assert.ok(frequent * LINE.length <= BURST_BYTES - RESERVED_BYTES);
      assert.ok(writeLines(stream, 100, false) * LINE.length >= RESERVED_BYTES - 2 * LINE.length);
      assert.ok(sumBytes(lines) <= BURST_BYTES);
    });

    it('gives what is refilled to the others first', () => {
      const {advance, stream} = createStream();
      writeLines(stream, 100, true);
      writeLines(stream, 100, false);
      advance(RESERVED_BYTES);
      assert.equal(writeLines(stream, 1, true), 0);
      assert.equal(writeLines(stream, 5, false), 5);
      advance(2 * RESERVED_BYTES);
      assert.equal(writeLines(stream, 1, true), 1);
    });

    it('counts each of them that is dropped', () => {
      const {stream} = createStream();
      const written = writeLines(stream, 100, true);
      assert.equal(stream.droppedLines, 100 - written);
    });

    it('lets them use the rate in the long run', () => {
      const {advance, lines, stream} = createStream();
      writeLines(stream, 100, true);
      lines.length = 0;
      for (let step = 0; step < 100; step += 1) {
        advance(100);
        writeLines(stream, 10, true);
      }
      assert.ok(sumBytes(lines) >= 9_500);
      assert.ok(sumBytes(lines) <= 10_000);
    });
  });

  describe('with lines that follow each other', () => {
    it('writes them at once, after a short time', () => {
      mock.timers.enable({apis: ['setTimeout']});
      try {
        const {stream, writes} = createStream();
        for (let line = 0; line < 8; line += 1) {
          stream.write(LINE);
        }
        mock.timers.tick(50);
        assert.deepEqual(writes, [LINE.repeat(8)]);
        stream.write(LINE);
        mock.timers.tick(50);
        assert.equal(writes.length, 2);
      } finally {
        mock.timers.reset();
      }
    });

    it('writes no more at once than a pipe accepts whole', () => {
      const {lines, stream, writes} = createStream(100_000);
      const line = `${'é'.repeat(50)}\n`;
      for (let count = 0; count < 100; count += 1) {
        stream.write(line);
      }
      stream.flush();
      assert.equal(lines.length, 100);
      assert.equal(writes.length, Math.ceil(100 / Math.floor(4_096 / Buffer.byteLength(line))));
      assert.ok(writes.every((text) => Buffer.byteLength(text) <= 4_096));
    });

    it('writes those that wait when the process exits', async () => {
      const program = `
        import {LogStream} from ${JSON.stringify(new URL('../../LogStream.ts', import.meta.url).href)};
        const stream = new LogStream({bytesPerSecond: 1e9, now: () => performance.now()});
        for (let line = 0; line < 3; line += 1) stream.write('line ' + line + '\\n');
        process.exit(0);
      `;
      const args = ['--import', 'tsx', '--input-type=module', '--eval', program];
      const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
      let output = '';
      child.stdout.on('data', (chunk: Buffer) => {
        output += chunk.toString();
      });
      await once(child, 'close');
      assert.equal(output, 'line 0\nline 1\nline 2\n');
    });
  });

  it('never blocks on a reader that has stopped reading', async () => {
    const program = `
      import {LogStream} from ${JSON.stringify(new URL('../../LogStream.ts', import.meta.url).href)};
      const stream = new LogStream({bytesPerSecond: 1e9, now: () => performance.now()});
      for (let line = 0; line < 100_000; line += 1) stream.write('x'.repeat(99) + '\\n');
      process.stderr.write('written');
      setTimeout(() => process.exit(0), 50);
    `;
    const args = ['--import', 'tsx', '--input-type=module', '--eval', program];
    // Nothing reads the child's standard output, so that its pipe stays full.
    const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe']});
    const [output] = (await once(child.stderr, 'data')) as [Buffer];
    assert.equal(output.toString(), 'written');
    child.kill('SIGKILL');
    await once(child, 'exit');
  });
});
