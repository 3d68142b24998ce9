// Guards against settings that come in force later than four seconds after their acceptance because the watcher of a data centre waits for
// them on a connection to the platform that has fallen silent for good, while new connections work.
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpObjectStore } from '@limpetwinch/core'
import { CuttableLink } from '@limpetwinch/load'
import { StandInPlatform } from '@limpetwinch/stand-ins'
import { afterEach, describe, expect, it } from 'vitest'
import { put, SettingsDeployment, teamText, until, versionAt } from './deployment.js'

const IN_FORCE_MILLISECONDS = 4_000
const ROUNDS = 3

const deployment = new SettingsDeployment()
const ending: { close: () => Promise<unknown> }[] = []

afterEach(async () => {
  await deployment.stop()
  for (const each of ending.reverse()) await each.close()
})

describe('a settings change', () => {
  it('is in force in time at a watcher whose connections to the platform have fallen silent', async () => {
    const platform = new StandInPlatform({ listLag: 0 })
    await platform.listen()
    const link = new CuttableLink(platform.url)
    const [direct, linked] = [new HttpObjectStore(platform.url), new HttpObjectStore(await link.listen())]
    ending.push(platform, link, direct, linked)
    const writer = await deployment.start('away', direct, { dataCentre: 'south' })
    const watcher = await deployment.start('here', linked, { hasDefaultWatch: true })
    deployment.cut(writer, watcher)
    const late: string[] = []
    for (let round = 0; round < ROUNDS; round += 1) {
      const version = `v${round + 1}`
      // Each round begins in another phase of the watch.
      await sleep(round * 300)
      link.silenceOpen()
      await put(writer.writer, teamText(version), round)
      await sleep(IN_FORCE_MILLISECONDS)
      if (versionAt(watcher) !== version) late.push(version)
      await until(() => versionAt(watcher) === version)
    }
    expect(late).toEqual([])
  }, 30_000)
})
