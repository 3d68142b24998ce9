// The parts of undici that the ingress binary uses, with their names. The package's own main file also runs fetch, WebSocket,
// caches and mocks, and callers would wait for these at each start.
const Agent = require('undici/lib/dispatcher/agent')
const Client = require('undici/lib/dispatcher/client')
const Dispatcher = require('undici/lib/dispatcher/dispatcher')
const api = require('undici/lib/api')
const buildConnector = require('undici/lib/core/connect')

Object.assign(Dispatcher.prototype, api)

/**
 * @param {string} url - what is asked
 * @param {object} options - those of the package's function of this name, the dispatcher among them
 * @returns {Promise<object>} the answer
 */
function request (url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url)
  return dispatcher.request({ method: 'GET', ...options, origin, path: `${pathname}${search}` })
}

module.exports = { Agent, Client, buildConnector, request }
