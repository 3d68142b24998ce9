// Callers, endpoints and the store speak HTTP/1.1; loading the runtime's HTTP/2 would only cost time at each start. What stands
// here lets those who look for it see that a request is of another kind.
class Http2ServerRequest {}

module.exports = { constants: {}, Http2ServerRequest }
