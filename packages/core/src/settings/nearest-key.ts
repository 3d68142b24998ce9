/** Suggests the known word that is nearest to an unknown word, for error messages about misspelled names. */

/** @returns the number of letters to insert, delete, replace or swap with a neighbour to turn one word into the other */
export function editDistance (left: string, right: string): number {
  let beforeLast: number[] = []
  let last = Array.from({ length: right.length + 1 }, (_, column) => column)
  for (let row = 1; row <= left.length; row += 1) {
    const next = [row]
    for (let column = 1; column <= right.length; column += 1) {
      const same = left[row - 1] === right[column - 1] ? 0 : 1
      let best = Math.min((last[column] ?? 0) + 1, (next[column - 1] ?? 0) + 1, (last[column - 1] ?? 0) + same)
      const swapped = row > 1 && column > 1 && left[row - 1] === right[column - 2] && left[row - 2] === right[column - 1]
      if (swapped) best = Math.min(best, (beforeLast[column - 2] ?? 0) + 1)
      next.push(best)
    }
    beforeLast = last
    last = next
  }
  return last[right.length] ?? 0
}

/** Number of characters up to which an unknown word is compared, which bounds the work for a very long word. */
const MAXIMUM_COMPARED_CHARACTERS = 80

/**
 * Finds the known word that an unknown word was probably meant to be.
 *
 * @param word - the unknown word as written
 * @param known - the words that are allowed
 * @returns the nearest known word if it is near enough to be meant, else undefined
 */
export function nearestKey (word: string, known: readonly string[]): string | undefined {
  const written = word.slice(0, MAXIMUM_COMPARED_CHARACTERS).toLowerCase()
  const ranked = known
    .map((candidate) => ({ candidate, distance: editDistance(written, candidate.toLowerCase()) }))
    .sort((left, right) => left.distance - right.distance)
  const best = ranked[0]
  if (best === undefined) return undefined
  const nearEnough = best.distance <= Math.max(2, Math.floor(best.candidate.length / 2))
  return nearEnough ? best.candidate : undefined
}
