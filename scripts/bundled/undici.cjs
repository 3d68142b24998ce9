// Exports the parts of undici that the ingress program uses, under their own names. The package's main file also loads fetch, WebSocket,
// caches and mocks, which would delay each start.
const Agent = require('undici/lib/dispatcher/agent')
const Client = require('undici/lib/dispatcher/client')
const Dispatcher = require('undici/lib/dispatcher/dispatcher')
const api = require('undici/lib/api')
const buildConnector = require('undici/lib/core/connect')

Object.assign(Dispatcher.prototype, api)

/**
 * Sends a request through the given dispatcher.
 *
 * @param {string} url - URL to request
 * @param {object} options - options of the package's function of the same name; `dispatcher` is required
 * @returns {Promise<object>} the response
 */
function request (url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url)
  return dispatcher.request({ method: 'GET', ...options, origin, path: `${pathname}${search}` })
}

module.exports = { Agent, Client, buildConnector, request }
