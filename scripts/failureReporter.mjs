// Test reporter that writes the full name of each failed test, one per line, excluding suites.
export default async function* reportFailures(source) {
  const path = [];
  for await (const {data, type} of source) {
    if (type === 'test:start') {
      path[data.nesting] = data.name;
      path.length = data.nesting + 1;
    }
    const isFailedTest = type === 'test:fail' && data.details?.type !== 'suite';
    // Skips tests that failed only because of a failed subtest, which is reported itself.
    if (isFailedTest && data.details?.error?.failureType !== 'subtestsFailed') {
      yield `${[...path.slice(0, data.nesting), data.name].join(' > ')}\n`;
    }
  }
}
