/** A leak of listeners shows only as a warning; here it fails the run. */
process.on('warning', (warning) => {
  if (warning.name === 'MaxListenersExceededWarning') throw warning
})
