/** Starts a small deployment on loopback addresses: a store, and the project's own program as the deploy file starts it. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

export const ROOT = fileURLToPath(new URL('../..', import.meta.url))
export const HOST = 'ficu95.example'
export const MODEL = 'daka510000'
export const ENGINES = 'scribe-pool'
export const WEB = 'ranks-api'
const READY_MILLISECONDS = 30_000

/** Figures of the sheet of ktrc-rank in SYSTEM.md. */
const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  StabilityWindowMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  BudgetRatio: 0.2,
  BudgetWindowS: 10,
  BudgetSlack: 52,
  RecoverS: 12,
  PassMs: 120,
  AgainS: 0,
  RequireFencing: true,
  LeaseMs: 3000,
  ThawSlackMs: 300,
  CeilingWindowS: 5,
  CeilingOver: 1.1,
  version_ms: 5000
}
const CONTRACTS = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform']

/** A deployment whose processes and files are gone after `stop`. */
export class Deployment {
  /** @param record - receives what happens */
  constructor (record) {
    this.record = record
    this.store = new Store()
    this.instances = []
    this.folder = mkdtempSync(join(tmpdir(), 'limpetwinch-review-'))
    process.once('exit', () => this.kill())
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2))
  }

  /** Claims a range of loopback addresses and starts the store there. */
  async start () {
    this.range = await freeRange()
    await this.store.listen(this.address(1))
  }

  address (last) {
    return `127.${this.range}.0.${last}`
  }

  /** Starts one instance. @param number - its number, which names it; the same number again replaces an ended process */
  async launch (number, { zone = 'midrand-a', bounds = {}, limits = {}, isFirstStart = true } = {}) {
    const ip = this.address(100 + number)
    const name = `front-${zone}-${number}`
    const previous = this.instances.find((each) => each.name === name)
    const [front, ready, internal] = previous?.ports ?? [await freePort(ip), await freePort(ip), 7380]
    const file = join(this.folder, `${name}.jsonc`)
    writeFileSync(file, JSON.stringify({
      NodeName: name,
      Role: 'ingress',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: ip,
      Zone: zone,
      Region: 'gauteng',
      InternalPorts: [internal, internal + 15],
      Seeds: [],
      Bootstrap: isFirstStart,
      LossCounts: false,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1200,
      Contracts: CONTRACTS,
      Zones: { 'midrand-a': 'gauteng', 'isando-b': 'gauteng' },
      Listen: { Front: `${ip}:${front}`, Ready: `${ip}:${ready}` },
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0, ...limits },
      FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
      Bounds: { ...BOUNDS, ...bounds },
      Platform: { Address: this.store.address, form: 'objects', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000 }
    }))
    const child = spawn(process.execPath, ['--max-old-space-size=200', 'target/limpetwinch-ingress.cjs'], {
      cwd: ROOT, stdio: ['ignore', 'pipe', 'inherit'], env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETWINCH_CONFIG: file }
    })
    const logFolder = process.env.REVIEW_LOGS
    if (logFolder === undefined) child.stdout.resume()
    else child.stdout.pipe(createWriteStream(join(logFolder, `${name}.log`), { flags: 'a' }))
    const instance = { name, zone, ip, ports: [front, ready, internal], front: { host: ip, port: front }, child, hasEnded: false }
    child.once('close', (code, signal) => {
      instance.hasEnded = true
      this.record.add(`instance ${name} ended`, { code, signal })
    })
    this.instances = [...this.instances.filter((each) => each.name !== name), instance]
    this.record.add(`instance ${name} started`, { pid: child.pid })
    return instance
  }

  /** Waits until an instance says that it is ready. */
  async untilReady ({ name, ip, ports: [, ready] }) {
    const end = performance.now() + READY_MILLISECONDS
    while (!await isReady(ip, ready)) {
      if (performance.now() > end) throw new Error(`${name} is not ready`)
      await sleep(50)
    }
    this.record.add(`instance ${name} is ready`)
  }

  /** Writes a configuration as the operator does. */
  configure (version, { engine = {}, routes = [], limits = {} } = {}) {
    const route = (Name, Kind, Service, fields) => ({ Name, Host: HOST, PathPrefix: `/${Name}/`, Kind, Service, Priority: 1, MaxAttempts: 1, ...fields })
    const stream = { TimeoutMs: 15_000, TargetLatencyMs: 1000, Sticky: true, Resumable: false, GapAimMs: 400 }
    this.store.set('config', 'main', {
      Version: version,
      Routes: [
        route('note', 'stream', ENGINES, stream),
        route('draft', 'stream', ENGINES, { ...stream, Resumable: true, MaxAttempts: 2 }),
        route('list', 'unsafe', WEB, { TimeoutMs: 3000, TargetLatencyMs: 386 }),
        route('check', 'safe', WEB, { TimeoutMs: 3000, TargetLatencyMs: 386, MaxAttempts: 2 }),
        ...routes
      ],
      Services: [
        {
          Name: ENGINES,
          HealthPath: '/healthz',
          MaxConnections: 480,
          Engine: { Slots: 96, KvTokens: 201_886, Mb: 16_500, AdapterSlots: 8, LoadsPerS: 4.2, Models: [{ Name: MODEL, Mb: 16_100, LoadS: 0.6, Adapters: 3000, AdapterMb: 14 }], ...engine }
        },
        { Name: WEB, HealthPath: '/healthz', MaxConnections: 96 }
      ],
      Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, ...limits }
    })
  }

  kill () {
    for (const { child, hasEnded } of this.instances) if (!hasEnded) child.kill('SIGKILL')
    rmSync(this.folder, { recursive: true, force: true })
  }

  /** Ends all processes and closes the store. */
  async stop () {
    const ended = this.instances.filter(({ hasEnded }) => !hasEnded).map(async ({ child }) => await new Promise((resolve) => { child.once('close', resolve) }))
    this.kill()
    await Promise.all(ended)
    this.store.close()
    this.claim?.close()
  }
}

async function isReady (host, port) {
  return await new Promise((resolve) => {
    const request = get({ host, port, path: '/limpetwinch/readyz', agent: false, timeout: 1000 }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(false))
  })
}

/** @returns the second octet of a range of loopback addresses on which nothing listens at the ports that instances share */
async function freeRange () {
  for (let tried = 0; tried < 100; tried += 1) {
    const octet = 60 + Math.floor(Math.random() * 150)
    const ports = await Promise.all([101, 102, 103].flatMap((last) => [7380, 7381, 9464].map(async (port) => await isFree(`127.${octet}.0.${last}`, port))))
    if (ports.every(Boolean)) return octet
  }
  throw new Error('no free range of loopback addresses')
}

async function isFree (host, port) {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** @returns a port that was free a moment ago */
export async function freePort (host) {
  return await new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}
