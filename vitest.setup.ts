/** Node.js reports a leak of event listeners only as a warning; here it fails the test run. */
process.on('warning', (warning) => {
  if (warning.name === 'MaxListenersExceededWarning') throw warning
})
