// Replaces the runtime's HTTP/2 module, whose loading would only delay each start: callers, endpoints and the store use HTTP/1.1. The
// empty class lets code that checks for HTTP/2 requests see that a request is not one.
class Http2ServerRequest {}

module.exports = { constants: {}, Http2ServerRequest }
