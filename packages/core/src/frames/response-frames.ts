/** Frames on endpoints whose responses have no end. */

/** Says that an endpoint sent a response without an end, is out of use for such responses, or is in use again. */
export interface UnboundedResponseFrame {
  readonly kind: 'unbounded-response'
  readonly endpoint: string
  /** Start time of the endpoint's process, which tells one incarnation from the next. */
  readonly born: number
  /** `failed` for one response, `out` and `restored` for the endpoint as a whole. */
  readonly state: 'failed' | 'out' | 'restored'
  /** For `out`: how often the endpoint was put out of use in a row. */
  readonly ejections?: number | undefined
  /** For `out`: time until the endpoint is tried. */
  readonly milliseconds?: number | undefined
}
