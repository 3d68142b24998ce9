/** The object of the store that holds the owners of a data centre's endpoints. */
import type { DataCentreId, EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { z } from 'zod'
import type { OwnershipRecord } from './ownership.js'

const id = z.string().min(1).max(200)

const objectSchema = z.object({
  dataCentre: id,
  sequence: z.int().min(0),
  nextToken: z.int().min(1),
  writeId: z.string(),
  records: z.array(z.object({
    endpoint: id,
    owner: id,
    token: z.int().min(1),
    handedOverFrom: z.int().min(1).optional()
  }))
})

/** All owners of a data centre at one moment. */
export interface OwnershipObject {
  readonly dataCentre: DataCentreId
  /** Grows by one with each write, also when the store was restored and its own versions went back. */
  readonly sequence: number
  /** The lowest token that was never given. */
  readonly nextToken: number
  /** Identifies the write, so that it is found again when its answer was lost. */
  readonly writeId: string
  readonly records: readonly OwnershipRecord[]
}

/** @returns where a data centre's object stands in the store */
export function ownershipPath (dataCentre: DataCentreId): string {
  return `/ownership/${dataCentre}`
}

/** @returns the object before the first write */
export function emptyOwnership (dataCentre: DataCentreId): OwnershipObject {
  return { dataCentre, sequence: 0, nextToken: 1, writeId: '', records: [] }
}

/** @returns the checked object, or undefined when a value from the store or a peer is none */
export function parseOwnership (value: unknown): OwnershipObject | undefined {
  const parsed = objectSchema.safeParse(value)
  if (!parsed.success) return undefined
  return {
    ...parsed.data,
    dataCentre: parsed.data.dataCentre as DataCentreId,
    records: parsed.data.records.map((record) => ({
      endpoint: record.endpoint as EndpointId,
      owner: record.owner as InstanceId,
      token: record.token as FencingToken,
      handedOverFrom: record.handedOverFrom as FencingToken | undefined
    }))
  }
}

/**
 * Orders two states. Equal sequences with different writes exist only when the store was restored between two writes;
 * all instances then settle on the same one.
 *
 * @returns whether the first is newer
 */
export function isNewer (one: OwnershipObject, other: OwnershipObject): boolean {
  if (one.sequence !== other.sequence) return one.sequence > other.sequence
  return one.writeId > other.writeId
}
