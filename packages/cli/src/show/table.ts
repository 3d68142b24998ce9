/** Tables for people. */

/**
 * @param header - the names of the columns
 * @param rows - their values
 * @returns lines with columns side by side
 */
export function table (header: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => (line[column] ?? '').length)))
  return lines.map((line) => line.map((value, column) => value.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
