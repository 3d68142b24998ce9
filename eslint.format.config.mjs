import neostandard from 'neostandard'

/** The formatter: only the layout rules of Standard style. `npm run format -- --fix` rewrites files. */
const layoutOnly = neostandard({ ts: true, noJsx: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] })
  .map((config) => {
    if (!config.rules) return config
    const rules = Object.fromEntries(Object.entries(config.rules).filter(([name]) => name.startsWith('@stylistic/')))
    return { ...config, rules }
  })

export default [
  ...layoutOnly,
  { linterOptions: { reportUnusedDisableDirectives: 'off' } }
]
