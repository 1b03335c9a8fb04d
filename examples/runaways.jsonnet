// Settings of `hoptiller experiment runaways`: the Derby kind, with clients that wait for large reports, and engines
// that nobody can make end a statement. Two routers share eight engines.
(import 'derby.jsonnet') + {
  router+: { of: 2, state: null },
  classes: [
    c { patience: { lookup: '7.5s', report: '150s', 'rent-load': '150s' }[c.name], kinds:: null }
    for c in super.classes
  ],
  engines+: { max_attempts: 3 },
}
