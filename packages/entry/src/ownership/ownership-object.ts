/** The object in the store that records the owners of a data centre's endpoints. */
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

/** One version of the ownership state of a data centre. */
export interface OwnershipObject {
  readonly dataCentre: DataCentreId
  /** Increases with each write, even if the store was restored and its own version numbers went back. */
  readonly sequence: number
  /** The lowest fencing token that has not been assigned yet. */
  readonly nextToken: number
  /** Identifies the write, so that a later read shows whether a write with a lost answer took effect. */
  readonly writeId: string
  readonly records: readonly OwnershipRecord[]
}

/** @returns the path of a data centre's ownership object in the store */
export function ownershipPath (dataCentre: DataCentreId): string {
  return `/ownership/${dataCentre}`
}

/** @returns the ownership object before the first write */
export function emptyOwnership (dataCentre: DataCentreId): OwnershipObject {
  return { dataCentre, sequence: 0, nextToken: 1, writeId: '', records: [] }
}

/** @returns the validated ownership object, or undefined when a value from the store or from a peer is invalid */
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
 * Compares two states. Equal sequences with different write ids exist only when the store was restored between two
 * writes; the write id then makes all instances choose the same state.
 *
 * @returns whether the first state is newer
 */
export function isNewer (one: OwnershipObject, other: OwnershipObject): boolean {
  if (one.sequence !== other.sequence) return one.sequence > other.sequence
  return one.writeId > other.writeId
}
