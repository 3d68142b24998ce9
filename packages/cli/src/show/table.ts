/** Formats text tables. */

/**
 * Formats a table with columns padded to equal width.
 *
 * @param header - the names of the columns
 * @param rows - the values of each row
 * @returns the lines of the table
 */
export function table (header: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => (line[column] ?? '').length)))
  return lines.map((line) => line.map((value, column) => value.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
