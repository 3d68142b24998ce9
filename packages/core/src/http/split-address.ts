/** @returns the host and the port of an address of the form `host:port` or `[host]:port` */
export function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(address.slice(separator + 1)) }
}
