import perfectionist from 'eslint-plugin-perfectionist';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['**/dist/**', '**/target/**', '**/generated/**', '**/node_modules/**']},
  {
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname}},
    plugins: {perfectionist},
    rules: {
      '@typescript-eslint/consistent-type-exports': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', {allowNumber: true}],
      'max-lines': ['error', {max: 400, skipBlankLines: true, skipComments: true}],
      'max-lines-per-function': ['error', {max: 70, skipBlankLines: true, skipComments: true}],
      'perfectionist/sort-exports': 'error',
      'perfectionist/sort-imports': ['error', {newlinesBetween: 1}],
      'perfectionist/sort-interfaces': 'error',
      'perfectionist/sort-named-exports': 'error',
      'perfectionist/sort-named-imports': 'error',
      'perfectionist/sort-objects': 'error',
    },
  },
  {
    // Nested describe blocks are one function each; node:test returns promises nobody awaits.
    files: ['**/__tests__/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      'max-lines-per-function': 'off',
    },
  },
);
