/** Frames on the paths between instances and endpoints. */

/** The services of which the sender reaches less than half of the endpoints by its own paths. Nothing is sent while it reaches all of them. */
export interface UnreachableServicesFrame {
  readonly kind: 'unreachable-services'
  readonly services: readonly string[]
  /** Number of this announcement among those of the sender; a later one replaces all earlier ones. */
  readonly sequence: number
}
