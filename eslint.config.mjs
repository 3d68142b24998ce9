import neostandard, { plugins } from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

/** The linter: Standard style without layout (the formatter's work), with the house rules on top. */
export default [
  ...neostandard({ ts: true, noJsx: true, noStyle: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: { tsdoc, '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      // As Standard has it for TypeScript: `void` marks a promise that nobody waits for.
      'no-void': ['error', { allowAsStatement: true }],
      'tsdoc/syntax': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }]
    }
  }
]
