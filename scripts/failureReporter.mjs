// Reporter of the test runner: writes the full name of each failed test that is no suite, a line each.
export default async function* reportFailures(source) {
  const path = [];
  for await (const {data, type} of source) {
    if (type === 'test:start') {
      path[data.nesting] = data.name;
      path.length = data.nesting + 1;
    }
    const isFailedTest = type === 'test:fail' && data.details?.type !== 'suite';
    // A suite that failed only because a test in it failed is not named again.
    if (isFailedTest && data.details?.error?.failureType !== 'subtestsFailed') {
      yield `${[...path.slice(0, data.nesting), data.name].join(' > ')}\n`;
    }
  }
}
