/** Exact percentiles of a set of values, computed without histogram buckets, so that equal runs give equal figures. */

/** Percentiles in milliseconds, rounded to a tenth. */
export interface Percentiles {
  readonly p50: number
  readonly p95: number
  readonly p99: number
}

/** Percentiles with the largest value. */
export interface PercentilesAndMaximum extends Percentiles {
  readonly max: number
}

/** @returns the percentiles of the values by nearest rank, or zeros without values */
export function percentilesOf (values: readonly number[]): PercentilesAndMaximum {
  const sorted = Float64Array.from(values).sort()
  const at = (share: number) => round(sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0, 1)
  return { p50: at(0.5), p95: at(0.95), p99: at(0.99), max: at(1) }
}

/** @returns the value rounded to a number of decimal places */
export function round (value: number, places: number): number {
  const scale = 10 ** places
  return Math.round(value * scale) / scale
}
