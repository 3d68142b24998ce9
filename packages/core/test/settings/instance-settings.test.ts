import { describe, expect, it } from 'vitest'
import { INSTANCE_SETTINGS_OVERRIDES, loadInstanceSettings } from '@limpetwinch/core'

const TEXT = `{
  // one of two in the north
  "address": { "host": "127.0.0.1", "callerPort": 8080, "adminPort": 8081, "peerPort": 8082 },
  "dataCentre": "north",
  "platform": "http://127.0.0.1:9000",
  "administratorKeySha256": "${'ab'.repeat(32)}"
}
`

function problemsOf (text: string, environment: Record<string, string> = {}, flags: Record<string, string> = {}): unknown {
  return loadInstanceSettings(text, environment, flags)._unsafeUnwrapErr().details['list']
}

describe('instance settings', () => {
  it('fills in defaults, and lets variables override the file and flags override both', () => {
    const plain = loadInstanceSettings(TEXT, { PATH: '/bin' }, {})._unsafeUnwrap()
    expect(plain).toMatchObject({ address: { callerPort: 8080 }, logs: { format: 'text', level: 'info' } })
    expect(plain.metrics).toBe(undefined)
    const overridden = loadInstanceSettings(TEXT, { LIMPETWINCH_ADDRESS_CALLER_PORT: '9080', LIMPETWINCH_DATA_CENTRE: 'south', LIMPETWINCH_LOGS_LEVEL: 'debug' }, { 'data-centre': 'west', 'metrics-host': '127.0.0.1', 'limits-body-seconds': '2.5' })._unsafeUnwrap()
    expect(overridden).toMatchObject({ address: { callerPort: 9080, host: '127.0.0.1' }, dataCentre: 'west', logs: { level: 'debug' }, metrics: { host: '127.0.0.1' }, limits: { bodySeconds: 2.5 } })
  })

  it('reports all problems with their positions, or with the variable or flag that caused them', () => {
    const text = TEXT.replace('"dataCentre"', '"dataCenter"').replace('8081', '"8081"')
    expect(problemsOf(text, { LIMPETWINCH_LOGS_FORMAT: 'xml', LIMPETWINCH_ADDRES_HOST: 'x', LIMPETWINCH_KEY: 'of the command line' }, { 'limits-body-bytes': 'many', 'stop-seconds': '1' })).toMatchInlineSnapshot(`
      [
        "variable LIMPETWINCH_ADDRES_HOST: it is not known; write 'LIMPETWINCH_ADDRESS_HOST'",
        "flag --stop-seconds: it is not known; write 'limits-stop-seconds'",
        "address.adminPort, line 3, column 70: this has the wrong type; write a number",
        "dataCentre, line 1, column 1: this is missing; write text in double quotes",
        "variable LIMPETWINCH_LOGS_FORMAT: this is not allowed; write "text" or "json"",
        "flag --limits-body-bytes: this has the wrong type; write a number",
        "dataCenter, line 4, column 3: 'dataCenter' is not known here; write 'dataCentre'",
      ]
    `)
    expect(problemsOf('{')).toMatchInlineSnapshot(`
      [
        "line 1, column 2: write '}' to close the object",
      ]
    `)
  })

  it('refuses equal ports, and a suspicion after one late heartbeat', () => {
    expect(problemsOf(TEXT.replace('8081', '8080'), { LIMPETWINCH_TIMING_SUSPECT_MILLISECONDS: '600' })).toHaveLength(2)
    expect(loadInstanceSettings(TEXT.replace(/80\d\d/g, '0'), {}, {}).isOk()).toBe(true)
  })

  it('gives each value one flag and one variable', () => {
    expect(new Set(INSTANCE_SETTINGS_OVERRIDES.map((each) => each.flag)).size).toBe(INSTANCE_SETTINGS_OVERRIDES.length)
    expect(INSTANCE_SETTINGS_OVERRIDES.find((each) => each.flag === 'address-caller-port')).toEqual({ place: ['address', 'callerPort'], flag: 'address-caller-port', variable: 'LIMPETWINCH_ADDRESS_CALLER_PORT', numeric: true })
  })
})
